package org.sycamoretrack.core.process;

/**
 * How long a question of a watch waits at the store for a change.
 *
 * <p>Short waits notice a connection that has gone silent; but each costs the store a call, and all
 * nodes watch. So the wait grows with the nodes such that their questions together stay within a
 * budget, up to a bound that keeps drains and changes of the configuration in time.
 *
 * <p>Load that it answers: some hundred nodes that watch a few tables each.
 */
public final class WatchPace {
  /** With its time-out a question is over in half of the shortest bound of a drain, 2 s. */
  private static final long MIN_WAIT_MS = 400;

  /** A change that meets a silent connection is still seen within 2 s. */
  private static final long MAX_WAIT_MS = 900;

  /** Over half of the 2,000 reads a second that the store grants to all nodes. */
  private static final long POLLS_PER_SECOND = 1_200;

  private static final long MS_PER_SECOND = 1_000;

  private WatchPace() {}

  /**
   * Returns the wait.
   *
   * @param nodes the nodes that watch
   * @param tables the tables that each of them watches
   * @return milliseconds
   */
  public static long waitMs(int nodes, int tables) {
    long needed = MS_PER_SECOND * nodes * tables / POLLS_PER_SECOND;
    return Math.clamp(needed, MIN_WAIT_MS, MAX_WAIT_MS);
  }
}
