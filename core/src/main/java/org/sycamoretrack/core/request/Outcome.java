package org.sycamoretrack.core.request;

/**
 * What is known of a request that was not answered normally.
 *
 * <p>The value is a promise to the caller. {@link #NOT_RUN} is given only when no byte of the
 * request can have reached an endpoint, or when the endpoint itself refused it.
 */
public enum Outcome {
  /** The request did not run and may be sent again. */
  NOT_RUN("not-run"),
  /** The request ran, at least in part. */
  RAN("ran"),
  /** The request may or may not have run. */
  UNKNOWN("unknown");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in error answers, for example {@code not-run}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the outcome with a given wire name.
   *
   * @param wireName a name as returned by {@link #wireName()}
   * @return the outcome; {@link #UNKNOWN} for a name that is not known, since it promises least
   */
  public static Outcome ofWireName(String wireName) {
    for (Outcome outcome : values()) {
      if (outcome.wireName.equals(wireName)) {
        return outcome;
      }
    }
    return UNKNOWN;
  }
}
