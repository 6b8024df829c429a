package org.sycamoretrack.core.process;

/**
 * Decides whether calls to a far end go straight or over a peer.
 *
 * <p>Calls go straight until one fails. Then they go over a peer, and one call in each interval
 * tries the straight way again; the first one that succeeds brings all of them back.
 *
 * <p>Thread-safe. Times are milliseconds of one monotonic clock.
 */
public final class PathSwitch {
  private final long probeIntervalMs;
  private boolean direct = true;
  private long probeDueMs;

  /**
   * Creates a switch that goes straight.
   *
   * @param probeIntervalMs the time between two tries of the straight way while it fails
   */
  public PathSwitch(long probeIntervalMs) {
    this.probeIntervalMs = probeIntervalMs;
  }

  /** Returns whether the straight way works, as far as is known. */
  public synchronized boolean isStraight() {
    return direct;
  }

  /**
   * Returns whether a call that may be repeated is to try the straight way. Each time that it
   * returns true while the way fails, the next try is put off.
   *
   * @param nowMs the time now
   */
  public synchronized boolean takeStraight(long nowMs) {
    if (direct) {
      return true;
    }
    if (nowMs < probeDueMs) {
      return false;
    }
    probeDueMs = nowMs + probeIntervalMs;
    return true;
  }

  /**
   * Notes that a straight call failed.
   *
   * @param nowMs the time now
   * @return whether the way worked until now
   */
  public synchronized boolean onFailed(long nowMs) {
    boolean worked = direct;
    direct = false;
    if (worked) {
      probeDueMs = nowMs + probeIntervalMs;
    }
    return worked;
  }

  /**
   * Notes that a straight call succeeded.
   *
   * @return whether the way had failed until now
   */
  public synchronized boolean onSucceeded() {
    boolean failed = !direct;
    direct = true;
    return failed;
  }
}
