package org.sycamoretrack.core.process;

/**
 * Measures elapsed time, including time in which the host was suspended.
 *
 * <p>The monotonic clock stops while a host is suspended, and the wall clock may be adjusted. The
 * larger of both differences is used: the wall clock covers a suspension, and the monotonic clock
 * covers a wall clock that was set back. A wall clock that was set forward makes the elapsed time
 * too long, which ends a lease early and is harmless.
 */
public final class SuspendAwareStopwatch {
  private long monotonicMs;
  private long wallClockMs;

  /** Creates an instance that measures from time 0 of both clocks. */
  public SuspendAwareStopwatch() {}

  /**
   * Starts the measurement.
   *
   * @param nowMonotonicMs the monotonic clock in milliseconds
   * @param nowWallClockMs the wall clock in milliseconds since the epoch
   */
  public void start(long nowMonotonicMs, long nowWallClockMs) {
    monotonicMs = nowMonotonicMs;
    wallClockMs = nowWallClockMs;
  }

  /**
   * Returns the elapsed time in milliseconds, including suspensions.
   *
   * @param nowMonotonicMs the monotonic clock in milliseconds
   * @param nowWallClockMs the wall clock in milliseconds since the epoch
   */
  public long elapsedMs(long nowMonotonicMs, long nowWallClockMs) {
    return Math.max(nowMonotonicMs - monotonicMs, nowWallClockMs - wallClockMs);
  }
}
