/**
 * Batches of requests that are accepted as a whole and executed in the background: their items,
 * generated texts and results.
 */
package org.sycamoretrack.core.request.batch;
