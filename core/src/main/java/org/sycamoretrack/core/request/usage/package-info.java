/** Counts of requests by customer and window, and the order in which they are reported. */
package org.sycamoretrack.core.request.usage;
