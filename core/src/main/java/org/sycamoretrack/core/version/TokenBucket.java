package org.sycamoretrack.core.version;

/**
 * A token bucket for orders: at most {@code ordersPerSecond} in the long run, and after a pause no
 * more than one order and what accrues in a fifth of a second.
 */
final class TokenBucket {
  private static final double BURST_SECONDS = 0.2;
  private static final double MS_PER_SECOND = 1_000;

  private double tokens = 1;
  private long lastRefillMs = Long.MIN_VALUE;

  /** Adds what has accrued since the last call. */
  void refill(double ordersPerSecond, long nowMs) {
    if (lastRefillMs != Long.MIN_VALUE) {
      double accrued = (nowMs - lastRefillMs) / MS_PER_SECOND * ordersPerSecond;
      tokens = Math.min(1 + BURST_SECONDS * ordersPerSecond, tokens + accrued);
    }
    lastRefillMs = nowMs;
  }

  /** Returns whether an order may be given now. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes the token of an order. */
  void consume() {
    tokens--;
  }
}
