package org.sycamoretrack.daemon.request;

import java.util.Map;

/**
 * A call to a plain service, as it is sent to an endpoint.
 *
 * @param id the request's id
 * @param pool the pool that answers
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers that are passed on
 * @param body the body
 * @param repeatable whether it may be sent again after it may have run
 * @param deadlineNanos when it is given up, by the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
record ServiceCall(
    String id,
    String pool,
    String method,
    String target,
    Map<String, String> headers,
    byte[] body,
    boolean repeatable,
    long deadlineNanos) {}
