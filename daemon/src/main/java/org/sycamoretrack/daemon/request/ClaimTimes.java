package org.sycamoretrack.daemon.request;

/**
 * The durations of the claim service, in milliseconds.
 *
 * @param retryDelayMs the delay before a failed call of the table service is retried; while a range
 *     can't be acquired, it doubles up to eight times this value
 * @param maxWaitMs the maximum time that a claim waits for its range to be acquired, or for the
 *     outcome of the same call that is already running
 * @param settleLingerMs the maximum time that an outcome waits to be written in one batch with
 *     others
 * @param takeOverAfterMs how long the lease of a range's owner must stay unchanged before the range
 *     is taken over, when the membership does not list the owner as alive
 * @param drainTimeoutMs the maximum time that running calls may delay the release of their range
 */
public record ClaimTimes(
    long retryDelayMs,
    long maxWaitMs,
    long settleLingerMs,
    long takeOverAfterMs,
    long drainTimeoutMs) {
  /** The default durations. */
  public static final ClaimTimes DEFAULT = new ClaimTimes(250, 5_000, 200, 6_000, 30_000);
}
