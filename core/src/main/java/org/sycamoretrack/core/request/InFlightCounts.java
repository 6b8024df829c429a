package org.sycamoretrack.core.request;

/**
 * The number of requests running on an endpoint, by class.
 *
 * @param interactive the number of requests of class {@link RequestClass#INTERACTIVE}
 * @param rollout the number of requests of class {@link RequestClass#ROLLOUT}
 */
public record InFlightCounts(int interactive, int rollout) {
  /** No request is running. */
  public static final InFlightCounts NONE = new InFlightCounts(0, 0);

  /** Returns the number of requests of both classes. */
  public int total() {
    return interactive + rollout;
  }

  /**
   * Returns the counts with one more request of the given class.
   *
   * @param requestClass the class of the request that starts
   */
  public InFlightCounts plus(RequestClass requestClass) {
    return adjust(requestClass, 1);
  }

  /**
   * Returns the counts with one request less of the given class.
   *
   * @param requestClass the class of the request that ended
   */
  public InFlightCounts minus(RequestClass requestClass) {
    return adjust(requestClass, -1);
  }

  private InFlightCounts adjust(RequestClass requestClass, int delta) {
    return switch (requestClass) {
      case INTERACTIVE -> new InFlightCounts(interactive + delta, rollout);
      case ROLLOUT -> new InFlightCounts(interactive, rollout + delta);
    };
  }
}
