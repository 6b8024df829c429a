/** Batches of requests that are accepted once and run later: their items, texts and results. */
package org.sycamoretrack.core.request.batch;
