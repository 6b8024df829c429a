package org.sycamoretrack.core.version.capacity;

import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/**
 * What is known of a service when its capacity is planned. Immutable.
 *
 * @param terms the scaling terms of the service
 * @param pools the listed endpoints by pool; pools without any may be absent
 * @param endpointsAgeMs the age of {@code pools} in milliseconds
 * @param work the open batches of the service
 * @param tokensPerSecond the measured processing rate of one endpoint with all slots in use; 0 if
 *     unknown
 * @param workAgeMs the age of {@code work} in milliseconds
 */
public record CapacityInput(
    ScalingTerms terms,
    Map<CapacityPool, PoolCount> pools,
    long endpointsAgeMs,
    List<BatchWork> work,
    double tokensPerSecond,
    long workAgeMs) {
  /** Copies the collections. */
  public CapacityInput {
    pools = Map.copyOf(pools);
    work = List.copyOf(work);
  }

  /**
   * The listed endpoints of a pool.
   *
   * @param live the endpoints that may get new work
   * @param draining the endpoints that are leaving
   * @param reclaimed those among the draining ones that were reclaimed
   */
  public record PoolCount(int live, int draining, int reclaimed) {
    /** A pool without endpoints. */
    public static final PoolCount NONE = new PoolCount(0, 0, 0);

    /**
     * Returns the count of one endpoint. A draining spot endpoint counts as reclaimed, since it may
     * say that it is leaving before its entry says why.
     *
     * @param endpoint the endpoint
     */
    public static PoolCount of(Endpoint endpoint) {
      if (!endpoint.draining()) {
        return new PoolCount(1, 0, 0);
      }
      return new PoolCount(0, 1, endpoint.reclaimed() || endpoint.spot() ? 1 : 0);
    }

    /** Returns the sum of this count and another one. */
    public PoolCount plus(PoolCount other) {
      return new PoolCount(
          live + other.live, draining + other.draining, reclaimed + other.reclaimed);
    }
  }

  /**
   * Returns the listed endpoints of a pool.
   *
   * @param pool the pool
   */
  public PoolCount count(CapacityPool pool) {
    return pools.getOrDefault(pool, PoolCount.NONE);
  }
}
