package org.sycamoretrack.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how long work takes once an endpoint has begun it, by pool and by endpoint.
 *
 * <p>The usual time of a pool is smoothed over half a minute, so that it doesn't follow a zone that
 * has just become slow, and serves as the estimate for endpoints without a recent measurement.
 *
 * <p>Not thread-safe. All times are in milliseconds of the same monotonic clock.
 */
final class ResponseTimes {
  private static final double POOL_TIME_CONSTANT_MS = 30_000;

  /** About the time in which the load of a zone changes. */
  private static final double ENDPOINT_TIME_CONSTANT_MS = 600;

  private static final long ENDPOINT_VALID_MS = 3_000;

  /** The smallest weight of a measurement, so that several in one millisecond count. */
  private static final double MIN_ELAPSED_MS = 1;

  private final Map<String, Mean> pools = new HashMap<>();
  private final Map<String, Mean> endpoints = new HashMap<>();

  /**
   * Adds a measurement.
   *
   * @param pool the pool
   * @param endpointId the id of the endpoint
   * @param serviceMs the time without the wait in the endpoint's queue
   * @param nowMs the current time
   */
  void add(String pool, String endpointId, double serviceMs, long nowMs) {
    pools
        .computeIfAbsent(pool, any -> new Mean())
        .add(serviceMs, POOL_TIME_CONSTANT_MS, Long.MAX_VALUE, nowMs);
    endpoints
        .computeIfAbsent(endpointId, any -> new Mean())
        .add(serviceMs, ENDPOINT_TIME_CONSTANT_MS, ENDPOINT_VALID_MS, nowMs);
  }

  /** Returns the usual time of a pool, or a default if nothing was measured. */
  double usualMs(String pool, double defaultMs) {
    Mean mean = pools.get(pool);
    return mean == null ? defaultMs : mean.valueMs;
  }

  /** Returns whether an endpoint was measured in the last {@value #ENDPOINT_VALID_MS} ms. */
  boolean isMeasured(String endpointId, long nowMs) {
    Mean mean = endpoints.get(endpointId);
    return mean != null && nowMs - mean.atMs <= ENDPOINT_VALID_MS;
  }

  /** Returns the recent time of an endpoint, which must be measured. */
  double endpointMs(String endpointId) {
    return endpoints.get(endpointId).valueMs;
  }

  /** A mean that is smoothed over time and starts anew when it has become invalid. */
  private static final class Mean {
    private double valueMs;
    private boolean empty = true;
    private long atMs;

    private void add(double ms, double timeConstantMs, long validMs, long nowMs) {
      double elapsedMs = Math.max(MIN_ELAPSED_MS, (double) (nowMs - atMs));
      boolean valid = !empty && elapsedMs <= validMs;
      double weight = valid ? 1 - Math.exp(-elapsedMs / timeConstantMs) : 1;
      valueMs += weight * (ms - valueMs);
      empty = false;
      atMs = nowMs;
    }
  }
}
