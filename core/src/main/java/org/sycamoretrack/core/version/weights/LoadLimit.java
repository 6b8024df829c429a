package org.sycamoretrack.core.version.weights;

/**
 * How many endpoints may load weights at once before the store of weights slows them all down.
 *
 * <p>Such a store is sized for its fleet, so the limit is a share of the endpoints, rounded down,
 * and a few at least.
 *
 * @param atLeast the limit of a small fleet, over 0
 * @param endpointShare the share of the endpoints, 0 to 1
 */
public record LoadLimit(int atLeast, double endpointShare) {
  /** Checks the values. */
  public LoadLimit {
    if (atLeast <= 0 || !(endpointShare >= 0 && endpointShare <= 1)) {
      throw new IllegalArgumentException("a load limit must be over 0, its share from 0 to 1");
    }
  }

  /**
   * Returns a limit that doesn't depend on the number of endpoints.
   *
   * @param limit the limit, over 0
   */
  public static LoadLimit fixed(int limit) {
    return new LoadLimit(limit, 0);
  }

  /**
   * Returns the limit of a fleet.
   *
   * @param endpoints the number of its endpoints
   */
  public int of(int endpoints) {
    return Math.max(atLeast, (int) Math.floor(endpointShare * endpoints));
  }
}
