package org.sycamoretrack.daemon.request;

/**
 * The durations of the claim service, in milliseconds.
 *
 * @param retryDelayMs the time until a failed call of the table service is tried again; doubled up
 *     to eight times it while a range can't be taken
 * @param maxWaitMs the longest time that a claim waits for its range to be taken, or for the answer
 *     of the same call that runs already
 * @param settleLingerMs the longest time that a recorded answer waits for others to be written with
 * @param takeOverAfterMs for how long the lease of a range's owner, of whom the membership knows
 *     nothing, must stay unchanged before the range is taken from it
 * @param drainTimeoutMs the longest time that calls may run on before their range is given away
 */
public record ClaimTimes(
    long retryDelayMs,
    long maxWaitMs,
    long settleLingerMs,
    long takeOverAfterMs,
    long drainTimeoutMs) {
  /** The durations that nodes use unless their settings say otherwise. */
  public static final ClaimTimes DEFAULT = new ClaimTimes(250, 5_000, 200, 6_000, 30_000);
}
