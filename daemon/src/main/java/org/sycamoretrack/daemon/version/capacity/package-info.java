/** The demand of open batches, and orders of endpoints by the holder of the duty. */
package org.sycamoretrack.daemon.version.capacity;
