package org.sycamoretrack.core.process;

/**
 * The times of the membership protocol, all in milliseconds.
 *
 * @param probePeriodMs the time between two rounds of probes
 * @param directTimeoutMs how long an answer may take before other members are asked to probe
 * @param indirectTimeoutMs how long their answer may take before the target is suspected
 * @param suspicionMs how long a suspected member has to refute before it is dead
 * @param gossipPeriodMs the time between two rounds of news
 * @param digestPeriodMs the time between two comparisons of all that is known
 * @param reconnectPeriodMs the time between two attempts to reach a dead member
 * @param tombstoneMs how long a dead member is remembered
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
  /** Times with which a crash is known to all of 350 members within 3 s. */
  public static final MembershipTimings DEFAULT =
      new MembershipTimings(400, 300, 300, 900, 200, 10_000, 1_000, 600_000);
}
