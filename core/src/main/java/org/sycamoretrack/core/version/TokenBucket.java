package org.sycamoretrack.core.version;

/**
 * A token bucket that limits the rate of load commands: {@code loadsPerSecond} on average, with a
 * burst of one command plus the tokens of {@value #BURST_SECONDS} seconds after an idle period.
 */
final class TokenBucket {
  private static final double BURST_SECONDS = 0.2;
  private static final double MS_PER_SECOND = 1_000;

  private double tokens = 1;
  private long lastRefillMs = Long.MIN_VALUE;

  /** Adds the tokens accrued since the last call. */
  void refill(double loadsPerSecond, long nowMs) {
    if (lastRefillMs != Long.MIN_VALUE) {
      double accrued = (nowMs - lastRefillMs) / MS_PER_SECOND * loadsPerSecond;
      tokens = Math.min(1 + BURST_SECONDS * loadsPerSecond, tokens + accrued);
    }
    lastRefillMs = nowMs;
  }

  /** Returns whether a load command may be issued now. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Removes the token for one load command. */
  void consume() {
    tokens--;
  }
}
