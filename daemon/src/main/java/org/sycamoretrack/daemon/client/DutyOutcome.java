package org.sycamoretrack.daemon.client;

/** The outcome of a call to the control service. */
public sealed interface DutyOutcome {
  /** The service executed the call. */
  record Done() implements DutyOutcome {}

  /** The service did not execute an order, because no endpoints are available at the moment. */
  record Unavailable() implements DutyOutcome {}

  /** The service did not execute the call, because the deployment calls too often. */
  record Throttled() implements DutyOutcome {}

  /**
   * The service responded with another status. It may have executed the call.
   *
   * @param status the HTTP status
   */
  record Refused(int status) implements DutyOutcome {}

  /**
   * No response arrived. The service may have executed the call, or may execute it later.
   *
   * @param reason the reason, for logs
   */
  record Unknown(String reason) implements DutyOutcome {}

  /** Returns the name of the outcome in metrics and in the log. */
  default String label() {
    return switch (this) {
      case Done done -> "done";
      case Unavailable unavailable -> "unavailable";
      case Throttled throttled -> "throttled";
      case Refused refused -> "refused";
      case Unknown unknown -> "unknown";
    };
  }
}
