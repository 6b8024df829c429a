package org.sycamoretrack.core.version;

/**
 * The durations of a weight rollout, in milliseconds.
 *
 * @param readIntervalMs the time between two reads of an engine that loads nothing
 * @param loadingReadIntervalMs the time between two reads of an engine that was given an order
 * @param verificationIntervalMs the time after which a served version is proven anew
 * @param loadTimeoutMs the time after which a load that shows no end has failed
 * @param retryBaseMs the bound of the wait before the first repeated order
 * @param retryMaxMs the bound of all waits before repeated orders
 */
public record RolloutTimes(
    long readIntervalMs,
    long loadingReadIntervalMs,
    long verificationIntervalMs,
    long loadTimeoutMs,
    long retryBaseMs,
    long retryMaxMs) {
  /** The durations that nodes use unless their settings say otherwise. */
  public static final RolloutTimes DEFAULT =
      new RolloutTimes(1_000, 50, 30_000, 10_000, 250, 5_000);

  /** Checks the durations. */
  public RolloutTimes {
    if (readIntervalMs <= 0
        || loadingReadIntervalMs <= 0
        || loadTimeoutMs <= 0
        || verificationIntervalMs <= 0) {
      throw new IllegalArgumentException("rollout times must be over 0");
    }
  }
}
