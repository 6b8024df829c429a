package org.sycamoretrack.core.request;

import org.sycamoretrack.core.version.routing.RouteKind;

/**
 * Decides during a planned stop whether a request is still sent to an endpoint.
 *
 * <p>A request is sent if it ends before the grace period does: its own time limit passes before
 * that, or the latest requests to its service were fast enough. For a request that may run more
 * than once, the time that {@value #USUAL_SHARE} of them took has to be left. One that may run only
 * once can't be repeated by its caller when its response is lost, so it needs {@value
 * #RUN_ONCE_FACTOR} times the longest of them. Of a service without such requests, only the time
 * limit is known.
 *
 * <p>Example with 2 s left, a time limit of 5 s and requests that took 100 ms each except for one
 * of 64, which took 1,500 ms: a safe request needs 100 ms and is sent; an unsafe one needs 3 s and
 * is refused.
 */
public final class StopAdmission {
  private static final double USUAL_SHARE = 0.95;
  private static final int RUN_ONCE_FACTOR = 2;

  private StopAdmission() {}

  /**
   * Returns whether a request is sent.
   *
   * @param kind the kind of its route
   * @param limitMs the time that it may take, by its caller and its route
   * @param times the durations of the latest requests to its service
   * @param remainingMs the time until the end of the grace period
   */
  public static boolean admits(RouteKind kind, long limitMs, ServiceTimes times, long remainingMs) {
    if (remainingMs <= 0) {
      return false;
    }
    return limitMs <= remainingMs || (!times.isEmpty() && requiredMs(kind, times) <= remainingMs);
  }

  private static long requiredMs(RouteKind kind, ServiceTimes times) {
    return kind == RouteKind.SAFE
        ? times.quantileMs(USUAL_SHARE)
        : RUN_ONCE_FACTOR * times.quantileMs(1);
  }
}
