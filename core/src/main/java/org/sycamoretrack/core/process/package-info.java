/** State of the node process: membership, leases, ownership and error codes. */
package org.sycamoretrack.core.process;
