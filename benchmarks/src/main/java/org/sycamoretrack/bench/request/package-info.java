/** Requests of the models and the measures of queueing, choice, stragglers and retries. */
package org.sycamoretrack.bench.request;
