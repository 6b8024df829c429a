package org.sycamoretrack.core.process;

/**
 * Computes how long a long poll of a table waits at the store for a change.
 *
 * <p>Short waits detect a stalled connection sooner, but each poll costs the store a call, and all
 * nodes poll. A poll also costs a node processor time, and polls are most of what an idle node
 * does. The wait is therefore as long as the time allowed for a drain permits, and grows with the
 * number of nodes, so that the rate of all polls stays within a budget, up to a maximum that lets
 * drains and configuration changes take effect in time.
 *
 * <p>Designed for a few hundred nodes that poll a few tables each.
 */
public final class LongPollWait {
  /** The shortest time that a deployment allows for a drain. */
  public static final long MIN_DRAIN_MS = 2_000;

  /**
   * A poll including its timeout of 500 ms beyond the wait then ends within half of the time
   * allowed for a drain.
   */
  private static final long WAITS_PER_DRAIN = 5;

  /** Two waits then end before the manifest counts as outdated. */
  private static final long MAX_DRAIN_WAIT_MS = 600;

  /** A change is then still detected within 2 s if the connection has stalled. */
  private static final long MAX_WAIT_MS = 900;

  /** More than half of the 2,000 reads a second that the store allows for all nodes together. */
  private static final long POLLS_PER_SECOND = 1_200;

  private static final long MS_PER_SECOND = 1_000;

  private LongPollWait() {}

  /**
   * Returns the wait of a poll.
   *
   * @param nodes the number of nodes that poll
   * @param tables the number of tables that each node polls
   * @param drainMs the time in milliseconds after which a draining endpoint must get no more work
   * @return the wait in milliseconds
   */
  public static long waitMs(int nodes, int tables, long drainMs) {
    long budgetedMs = MS_PER_SECOND * nodes * tables / POLLS_PER_SECOND;
    long allowedMs = Math.min(Math.max(drainMs, MIN_DRAIN_MS) / WAITS_PER_DRAIN, MAX_DRAIN_WAIT_MS);
    return Math.clamp(budgetedMs, allowedMs, MAX_WAIT_MS);
  }
}
