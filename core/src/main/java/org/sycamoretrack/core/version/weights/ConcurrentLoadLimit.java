package org.sycamoretrack.core.version.weights;

/**
 * The maximum number of endpoints that may load weights concurrently; more would slow down the
 * weight store for all of them.
 *
 * <p>A weight store is dimensioned for the number of endpoints, so the limit is a share of the
 * endpoints, rounded down, with a minimum.
 *
 * @param minimum the minimum, greater than 0
 * @param endpointShare the share of the endpoints, 0 to 1
 */
public record ConcurrentLoadLimit(int minimum, double endpointShare) {
  /** Checks the values. */
  public ConcurrentLoadLimit {
    if (minimum <= 0 || !(endpointShare >= 0 && endpointShare <= 1)) {
      throw new IllegalArgumentException(
          "load limit must be greater than 0 and its endpoint share between 0 and 1");
    }
  }

  /**
   * Returns a limit that doesn't depend on the number of endpoints.
   *
   * @param limit the limit, greater than 0
   */
  public static ConcurrentLoadLimit fixed(int limit) {
    return new ConcurrentLoadLimit(limit, 0);
  }

  /**
   * Returns the limit for a number of endpoints.
   *
   * @param endpoints the number of endpoints
   */
  public int forEndpoints(int endpoints) {
    return Math.max(minimum, (int) Math.floor(endpointShare * endpoints));
  }
}
