/**
 * What lives as long as one request, step or sample: outcomes, queues, limits, retries and claims.
 */
package org.sycamoretrack.core.request;
