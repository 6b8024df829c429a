package org.sycamoretrack.core.request;

/**
 * What is known about the execution of a request that ended with an error.
 *
 * <p>The value is a guarantee to the caller, who may retry on {@link #NOT_RUN}. That value is
 * reported only when no byte of the request can have reached an endpoint, or when the endpoint
 * itself rejected the request.
 */
public enum ExecutionOutcome {
  /** The request was not executed and can safely be retried. */
  NOT_RUN("not-run"),
  /** The request was executed, at least in part. */
  RAN("ran"),
  /** The request may or may not have been executed. */
  UNKNOWN("unknown");

  private final String wireName;

  ExecutionOutcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in error responses, for example {@code not-run}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the outcome with the given wire name.
   *
   * @param wireName a name as returned by {@link #wireName()}
   * @return the outcome; {@link #UNKNOWN} for an unrecognized name, since it guarantees the least
   */
  public static ExecutionOutcome ofWireName(String wireName) {
    for (ExecutionOutcome outcome : values()) {
      if (outcome.wireName.equals(wireName)) {
        return outcome;
      }
    }
    return UNKNOWN;
  }
}
