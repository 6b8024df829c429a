/**
 * The state of single requests, samples and training steps: admission queues, concurrency limits,
 * retries, idempotency keys, quarantine and step progress. The classes do no I/O.
 */
package org.sycamoretrack.core.request;
