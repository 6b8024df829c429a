/** Decisions on the number of endpoints of a service. */
package org.sycamoretrack.core.version.capacity;
