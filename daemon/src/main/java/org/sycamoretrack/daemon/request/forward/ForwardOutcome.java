package org.sycamoretrack.daemon.request.forward;

import org.sycamoretrack.transport.request.HttpAnswer;

/** How a forwarded request ended. */
public sealed interface ForwardOutcome {
  /**
   * An endpoint answered.
   *
   * @param answer its answer, whole
   */
  record Answered(HttpAnswer answer) implements ForwardOutcome {}

  /**
   * No endpoint has run the request, and none will.
   *
   * @param reason for people
   * @param retryAfterMs when a slot is expected to be free, in milliseconds
   */
  record NotRun(String reason, long retryAfterMs) implements ForwardOutcome {}

  /**
   * An endpoint may have run the request, but its answer was lost.
   *
   * @param reason for people
   */
  record Lost(String reason) implements ForwardOutcome {}

  /** The time was up before an answer came. */
  record TimedOut() implements ForwardOutcome {}
}
