package org.sycamoretrack.core.request;

/**
 * Requests that run on an endpoint now, by class.
 *
 * @param interactive requests of class {@link RequestClass#INTERACTIVE}
 * @param rollout requests of class {@link RequestClass#ROLLOUT}
 */
public record InFlight(int interactive, int rollout) {
  /** Nothing runs. */
  public static final InFlight NONE = new InFlight(0, 0);

  /** Returns the requests of both classes. */
  public int total() {
    return interactive + rollout;
  }

  /**
   * Returns the counts after one more request of a class.
   *
   * @param requestClass the class of the request that starts
   */
  public InFlight plus(RequestClass requestClass) {
    return add(requestClass, 1);
  }

  /**
   * Returns the counts after the end of one request of a class.
   *
   * @param requestClass the class of the request that ended
   */
  public InFlight minus(RequestClass requestClass) {
    return add(requestClass, -1);
  }

  private InFlight add(RequestClass requestClass, int change) {
    return switch (requestClass) {
      case INTERACTIVE -> new InFlight(interactive + change, rollout);
      case ROLLOUT -> new InFlight(interactive, rollout + change);
    };
  }
}
