package org.sycamoretrack.daemon.request.forward;

import org.sycamoretrack.transport.request.HttpResponse;

/** The outcome of a forwarded request. */
public sealed interface ForwardOutcome {
  /**
   * An endpoint has responded.
   *
   * @param response the complete response
   */
  record Answered(HttpResponse response) implements ForwardOutcome {}

  /**
   * No endpoint has run the request, and none will run it.
   *
   * @param reason a human-readable explanation
   * @param retryAfterMs the expected time until a slot is free, in milliseconds
   */
  record NotRun(String reason, long retryAfterMs) implements ForwardOutcome {}

  /**
   * The request was not sent, because requests like it have crashed the endpoints that ran them.
   *
   * @param retryAfterMs the time until such requests are sent again, in milliseconds
   */
  record Quarantined(long retryAfterMs) implements ForwardOutcome {}

  /**
   * An endpoint may have run the request, but its response was lost.
   *
   * @param reason a human-readable explanation
   */
  record Lost(String reason) implements ForwardOutcome {}

  /** The timeout passed before an endpoint responded. */
  record TimedOut() implements ForwardOutcome {}
}
