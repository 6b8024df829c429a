/** Handling of requests, samples and steps: ports for callers and trainers, routing, execution. */
package org.sycamoretrack.daemon.request;
