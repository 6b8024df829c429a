/** Batches from their acceptance to their last result, kept in the platform's store. */
package org.sycamoretrack.daemon.request.batch;
