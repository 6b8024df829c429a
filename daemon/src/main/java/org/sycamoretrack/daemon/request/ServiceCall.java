package org.sycamoretrack.daemon.request;

import java.util.Map;

/**
 * A call to a plain service, as it is sent to an endpoint.
 *
 * @param id the id of the request
 * @param pool the name of the pool that serves the call
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the forwarded headers
 * @param body the body
 * @param repeatable whether the call may be sent again if a previous attempt may have run
 * @param deadlineNanos the deadline, by the monotonic clock
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
