/** Counting of requests by customer, and the reports of these counts to the control service. */
package org.sycamoretrack.daemon.request.usage;
