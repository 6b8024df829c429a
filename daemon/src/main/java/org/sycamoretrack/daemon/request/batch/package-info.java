/** Durable batches: submission, execution, results and removal, based on the platform's store. */
package org.sycamoretrack.daemon.request.batch;
