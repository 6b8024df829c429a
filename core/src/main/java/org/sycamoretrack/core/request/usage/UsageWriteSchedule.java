package org.sycamoretrack.core.request.usage;

/**
 * Decides when a node writes its counts of a window to the store.
 *
 * <p>It answers a load of up to 350 nodes that all write to the same partition: the counts of a
 * window that have changed are written once in an interval that grows with the number of nodes, and
 * completely after the end of the window, at a time between {@value #FIRST_FINAL_MS} and {@value
 * #LAST_FINAL_MS} ms after it that differs between nodes. 350 nodes then write 175 rows a second to
 * the partition, which takes 200 transactions a second. A write before the end is left out when it
 * would come less than an interval before the complete one.
 *
 * <p>Example: windows of 5 s, a node in the middle of the spread, an interval of 1 s and a window
 * that begins at 0. Counts that change all the time are written at 500, 1,500, ... and 4,500 ms,
 * and completely at 6,300 ms.
 */
public final class UsageWriteSchedule {
  /** Endpoints refuse a request within some milliseconds, and rarely within some 100 ms. */
  private static final long FIRST_FINAL_MS = 300;

  /** Leaves time for a slow write before the 3 s after the window in which it must be complete. */
  private static final long LAST_FINAL_MS = 2_300;

  private static final long MIN_INTERVAL_MS = 1_000;

  /** Bounds the writes of all nodes before the end of a window to 100 a second. */
  private static final long INTERVAL_MS_PER_NODE = 10;

  private final UsageWindows windows;
  private final double phase;

  /**
   * Creates a schedule.
   *
   * @param windows the windows
   * @param phase the place of the node among all nodes, from 0 to 1
   */
  public UsageWriteSchedule(UsageWindows windows, double phase) {
    if (!(phase >= 0 && phase <= 1)) {
      throw new IllegalArgumentException("the phase must be from 0 to 1");
    }
    this.windows = windows;
    this.phase = phase;
  }

  /** Returns the time at which the counts of a window are written completely. */
  public long finalWriteMs(long window) {
    return windows.endMs(window)
        + FIRST_FINAL_MS
        + Math.round(phase * (LAST_FINAL_MS - FIRST_FINAL_MS));
  }

  /**
   * Returns whether counts of a window that differ from those in the store are to be written.
   *
   * @param window the window
   * @param lastWriteMs when they were last written; {@link Long#MIN_VALUE} if they were not
   * @param nodes the number of nodes
   * @param nowMs the time; all times are in milliseconds since the Unix epoch
   */
  public boolean isDue(long window, long lastWriteMs, int nodes, long nowMs) {
    long intervalMs = Math.max(MIN_INTERVAL_MS, INTERVAL_MS_PER_NODE * nodes);
    boolean written = lastWriteMs != Long.MIN_VALUE;
    long nextMs =
        written
            ? lastWriteMs + intervalMs
            : windows.startMs(window) + Math.round(phase * intervalMs);
    long finalMs = finalWriteMs(window);
    if (nowMs >= finalMs) {
      return lastWriteMs < finalMs || nowMs >= nextMs;
    }
    return nowMs >= nextMs && nowMs + intervalMs <= finalMs;
  }
}
