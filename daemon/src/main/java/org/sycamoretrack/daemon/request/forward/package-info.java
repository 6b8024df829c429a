/** Forwarding of plain requests from callers to endpoints, with retries and hedging. */
package org.sycamoretrack.daemon.request.forward;
