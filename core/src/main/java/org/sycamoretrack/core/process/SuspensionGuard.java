package org.sycamoretrack.core.process;

/**
 * Measures how long ago something happened when the process may have been suspended since.
 *
 * <p>The steady clock stands still while a host is suspended, and the time of day may be set. The
 * larger of both differences is used: a suspension shows in the time of day, and a time of day that
 * was set back leaves the steady clock's difference. A time of day that was set forward makes the
 * elapsed time too long, which ends a lease early and does no harm.
 */
public final class SuspensionGuard {
  private long monotonicMs;
  private long wallClockMs;

  /** Creates a guard that measures from time 0 of both clocks. */
  public SuspensionGuard() {}

  /**
   * Measures from now on.
   *
   * @param nowSteadyMs the steady clock in milliseconds
   * @param nowTimeOfDayMs the time of day in milliseconds since the epoch
   */
  public void mark(long nowSteadyMs, long nowTimeOfDayMs) {
    monotonicMs = nowSteadyMs;
    wallClockMs = nowTimeOfDayMs;
  }

  /**
   * Returns the elapsed time in milliseconds, suspensions included.
   *
   * @param nowSteadyMs the steady clock in milliseconds
   * @param nowTimeOfDayMs the time of day in milliseconds since the epoch
   */
  public long elapsedMs(long nowSteadyMs, long nowTimeOfDayMs) {
    return Math.max(nowSteadyMs - monotonicMs, nowTimeOfDayMs - wallClockMs);
  }
}
