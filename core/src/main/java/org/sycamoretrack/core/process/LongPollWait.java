package org.sycamoretrack.core.process;

/**
 * Computes how long a long poll of a table waits at the store for a change.
 *
 * <p>Short waits detect a stalled connection sooner, but each poll costs the store a call, and all
 * nodes poll. The wait therefore grows with the number of nodes, so that the rate of all polls
 * stays within a budget, up to a maximum that lets drains and configuration changes take effect in
 * time.
 *
 * <p>Designed for a few hundred nodes that poll a few tables each.
 */
public final class LongPollWait {
  /**
   * A poll including its timeout then ends within 1 s, half of the shortest time (2 s) allowed for
   * a drain.
   */
  private static final long MIN_WAIT_MS = 400;

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
   * @return the wait in milliseconds
   */
  public static long waitMs(int nodes, int tables) {
    long budgetedMs = MS_PER_SECOND * nodes * tables / POLLS_PER_SECOND;
    return Math.clamp(budgetedMs, MIN_WAIT_MS, MAX_WAIT_MS);
  }
}
