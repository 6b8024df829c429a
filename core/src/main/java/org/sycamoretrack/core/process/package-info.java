/** What lives as long as the process: membership, leases, ownership and errors. */
package org.sycamoretrack.core.process;
