package org.sycamoretrack.core.version.routing;

/** What a route carries, which decides what may be sent more than once. */
public enum RouteKind {
  /** Whole answers; the request is idempotent. */
  SAFE,
  /** Whole answers; the request may run at most once for each of the caller's attempts. */
  UNSAFE,
  /** Answers in events, which may be repeated only where the route allows to resume. */
  STREAM,
  /** Batch submissions: many requests that are accepted at once and run later. */
  BATCH
}
