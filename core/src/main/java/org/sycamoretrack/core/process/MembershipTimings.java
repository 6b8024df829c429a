package org.sycamoretrack.core.process;

/**
 * The intervals and timeouts of the membership protocol, in milliseconds.
 *
 * @param probePeriodMs the interval between rounds of probes
 * @param directTimeoutMs the timeout of a direct probe, after which indirect probes are requested
 * @param indirectTimeoutMs the timeout of indirect probes, after which the target is suspected
 * @param suspicionMs the time that a suspected member has to refute the suspicion before it is
 *     declared dead
 * @param gossipPeriodMs the interval between rounds of gossip
 * @param digestPeriodMs the minimum of the average interval between comparisons of digests
 * @param reconnectPeriodMs the interval between attempts to reach a dead member
 * @param tombstoneMs how long the record of a dead member is kept
 */
public record MembershipTimings(
    long probePeriodMs,
    long directTimeoutMs,
    long indirectTimeoutMs,
    long suspicionMs,
    long gossipPeriodMs,
    long digestPeriodMs,
    long reconnectPeriodMs,
    long tombstoneMs) {
  /** The defaults, with which all of 350 members learn of a crash within 3 s. */
  public static final MembershipTimings DEFAULT =
      new MembershipTimings(400, 300, 300, 900, 200, 10_000, 1_000, 600_000);
}
