package org.sycamoretrack.core.version;

/**
 * The intervals and timeouts of a weight rollout, in milliseconds.
 *
 * @param readIntervalMs the interval between reads of an engine without a load in progress
 * @param loadingReadIntervalMs the interval between reads of an engine that was sent a load command
 * @param verificationIntervalMs the time after which a served version is verified again
 * @param loadTimeoutMs the time after which an unfinished load has failed
 * @param retryBaseMs the maximum backoff before the first repeated load command
 * @param retryMaxMs the maximum backoff before any repeated load command
 */
public record RolloutTimings(
    long readIntervalMs,
    long loadingReadIntervalMs,
    long verificationIntervalMs,
    long loadTimeoutMs,
    long retryBaseMs,
    long retryMaxMs) {
  /** The defaults, which the settings of a node may override. */
  public static final RolloutTimings DEFAULT =
      new RolloutTimings(1_000, 50, 30_000, 10_000, 250, 5_000);

  /** Checks that intervals and timeouts are positive. */
  public RolloutTimings {
    if (readIntervalMs <= 0
        || loadingReadIntervalMs <= 0
        || loadTimeoutMs <= 0
        || verificationIntervalMs <= 0) {
      throw new IllegalArgumentException("rollout intervals and timeouts must be greater than 0");
    }
  }
}
