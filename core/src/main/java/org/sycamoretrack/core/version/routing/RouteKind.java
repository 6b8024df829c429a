package org.sycamoretrack.core.version.routing;

/** The kind of traffic on a route, which decides whether a request may be sent more than once. */
public enum RouteKind {
  /** Requests with a single response; they are idempotent. */
  SAFE,
  /** Requests with a single response; each of the caller's attempts may run at most once. */
  UNSAFE,
  /** Requests with a streamed response; they may be repeated only if the route is resumable. */
  STREAM,
  /** Batch submissions: many requests that are accepted together and run later. */
  BATCH
}
