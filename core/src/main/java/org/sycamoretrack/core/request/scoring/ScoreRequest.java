package org.sycamoretrack.core.request.scoring;

/**
 * The request that scores the text of an item. It may run more than once. Immutable; the body must
 * not be modified.
 *
 * @param id the id of the request
 * @param host the host of the route through which it is sent
 * @param path the path of the request
 * @param body the body of the request
 */
@SuppressWarnings("ArrayRecordComponent")
public record ScoreRequest(String id, String host, String path, byte[] body) {}
