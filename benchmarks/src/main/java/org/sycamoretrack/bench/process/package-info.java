/** What lives as long as the process. */
package org.sycamoretrack.bench.process;
