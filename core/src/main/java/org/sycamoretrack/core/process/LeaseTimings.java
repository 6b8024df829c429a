package org.sycamoretrack.core.process;

/**
 * The durations of a lease, in milliseconds.
 *
 * @param ttlMs the time to live of the lease after a write, as measured by its holder
 * @param pauseMarginMs the safety margin for pauses of the process between checking the lease and
 *     performing the guarded operation; the holder stops using the lease this long before the end
 *     of the TTL, and others wait this long after it
 * @param renewIntervalMs the interval between renewals
 * @param retryMs the delay before a failed operation is retried
 */
public record LeaseTimings(long ttlMs, long pauseMarginMs, long renewIntervalMs, long retryMs) {
  /** The defaults, which the settings of a node may override. */
  public static final LeaseTimings DEFAULT = new LeaseTimings(15_000, 3_000, 5_000, 500);

  /** Checks that the durations are consistent. */
  public LeaseTimings {
    if (retryMs <= 0 || renewIntervalMs < retryMs || pauseMarginMs < 0) {
      throw new IllegalArgumentException(
          "lease retryMs must be 1 to renewIntervalMs and pauseMarginMs at least 0");
    }
    if (ttlMs - pauseMarginMs <= renewIntervalMs) {
      throw new IllegalArgumentException(
          "lease TTL minus pause margin must be greater than the renewal interval");
    }
  }

  /** Returns how long a row must stay unchanged before another process may take over. */
  public long takeOverAfterMs() {
    return ttlMs + pauseMarginMs;
  }

  /**
   * Returns the time within which a live holder renews its lease once the store responds again: the
   * duration of a renewal that hangs, plus two retries.
   */
  public long renewalGraceMs() {
    return renewIntervalMs + 2 * retryMs;
  }
}
