package org.sycamoretrack.core.process;

/**
 * The durations of a lease, in milliseconds.
 *
 * @param ttlMs how long the lease lasts after a write, as its holder measures it
 * @param pauseMarginMs how long before that the holder stops, so that a pause between the check and
 *     the act that it guards does no harm; others wait for this long after it, too
 * @param renewIntervalMs the time between renewals
 * @param retryMs the time until a failed operation is tried again
 */
public record LeaseTimes(long ttlMs, long pauseMarginMs, long renewIntervalMs, long retryMs) {
  /** The durations that nodes use unless their settings say otherwise. */
  public static final LeaseTimes DEFAULT = new LeaseTimes(15_000, 3_000, 5_000, 500);

  /** Checks the durations. */
  public LeaseTimes {
    if (retryMs <= 0 || renewIntervalMs < retryMs || pauseMarginMs < 0) {
      throw new IllegalArgumentException("lease times must be over 0");
    }
    if (ttlMs - pauseMarginMs <= renewIntervalMs) {
      throw new IllegalArgumentException("a lease must outlive the time between its renewals");
    }
  }

  /** Returns for how long a row must stay unchanged before another process may take over. */
  public long takeOverAfterMs() {
    return ttlMs + pauseMarginMs;
  }

  /**
   * Returns within which time a live holder renews its lease once the store answers again: a
   * renewal that hangs, and two tries.
   */
  public long renewalGraceMs() {
    return renewIntervalMs + 2 * retryMs;
  }
}
