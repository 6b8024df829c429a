/** Duties that one node at a time performs, and the leases that permit it. */
package org.sycamoretrack.daemon.version.duty;
