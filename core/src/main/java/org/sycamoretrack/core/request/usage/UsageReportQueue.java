package org.sycamoretrack.core.request.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Decides which window the holder of the duty sums next, and which report it sends when.
 *
 * <p>It answers a load of one window every few seconds, with slow calls and outages of the control
 * service: windows are summed in order, a fixed time after their end, whether or not earlier
 * reports were accepted. Their reports are sent in the same order, one at a time. After an outage
 * the queued reports follow each other at a limited rate.
 *
 * <p>Invariants: no window is summed twice by one instance; a report is only sent after those of
 * all earlier windows were accepted or given up.
 *
 * <p>Not thread-safe.
 */
public final class UsageReportQueue {
  /** How the control service responded to a report. */
  public enum Response {
    /** It has the report. */
    ACCEPTED,
    /** It does not accept this report, and would not accept it later either. */
    REJECTED,
    /** It did not respond or was not able to accept the report. */
    FAILED
  }

  /** A holder continues with the windows of this time before its start. */
  static final long MAX_BACKLOG_MS = 60_000;

  /** Three reports a second after an outage. */
  private static final long MIN_SPACING_MS = 300;

  /** Two attempts with the longest duration of a call fit before a report is late. */
  private static final long RETRY_DELAY_MS = 500;

  private static final long SUM_RETRY_DELAY_MS = 300;

  private final UsageWindows windows;
  private final long sumDelayMs;
  private final Deque<Long> unsent = new ArrayDeque<>();
  private long nextWindow;
  private boolean summing;
  private boolean sending;
  private long nextSumMs = Long.MIN_VALUE;
  private long nextSendMs = Long.MIN_VALUE;

  /**
   * Creates a queue.
   *
   * @param windows the windows
   * @param sumDelayMs the time from the end of a window until it is summed, in milliseconds
   * @param firstWindow the first window to sum
   */
  public UsageReportQueue(UsageWindows windows, long sumDelayMs, long firstWindow) {
    this.windows = windows;
    this.sumDelayMs = sumDelayMs;
    this.nextWindow = firstWindow;
  }

  /**
   * Returns the oldest window that a holder may report at its start.
   *
   * @param windows the windows
   * @param nowMs the time, in milliseconds since the Unix epoch
   */
  public static long oldestWindow(UsageWindows windows, long nowMs) {
    return windows.at(nowMs - MAX_BACKLOG_MS);
  }

  /**
   * Returns the first window that a new holder reports.
   *
   * @param windows the windows
   * @param deploymentStart the first window of the deployment
   * @param lastReported the newest window whose report was accepted; empty if none is known
   * @param nowMs the time, in milliseconds since the Unix epoch
   */
  public static long firstWindow(
      UsageWindows windows, long deploymentStart, OptionalLong lastReported, long nowMs) {
    long first = Math.max(deploymentStart, oldestWindow(windows, nowMs));
    return lastReported.isPresent() ? Math.max(first, lastReported.getAsLong() + 1) : first;
  }

  /**
   * Returns the window that is to be summed now, and considers it as being summed.
   *
   * @param nowMs the time, in milliseconds since the Unix epoch
   */
  public OptionalLong nextSum(long nowMs) {
    boolean due = nowMs >= windows.endMs(nextWindow) + sumDelayMs && nowMs >= nextSumMs;
    if (summing || !due) {
      return OptionalLong.empty();
    }
    summing = true;
    return OptionalLong.of(nextWindow);
  }

  /**
   * Handles the end of a sum.
   *
   * @param alreadyReported whether the report was accepted from an earlier holder
   */
  public void onSummed(boolean alreadyReported) {
    summing = false;
    if (!alreadyReported) {
      unsent.addLast(nextWindow);
    }
    nextWindow++;
  }

  /**
   * Handles a sum that could not be completed. It is repeated.
   *
   * @param nowMs the time, in milliseconds since the Unix epoch
   */
  public void onSumFailed(long nowMs) {
    summing = false;
    nextSumMs = nowMs + SUM_RETRY_DELAY_MS;
  }

  /**
   * Returns the window whose report is to be sent now, and considers it as being sent.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public OptionalLong nextSend(long nowMs) {
    if (sending || unsent.isEmpty() || nowMs < nextSendMs) {
      return OptionalLong.empty();
    }
    sending = true;
    return OptionalLong.of(unsent.getFirst());
  }

  /**
   * Handles the end of a call.
   *
   * @param response how the service responded
   * @param timeMs the time, in milliseconds since the Unix epoch
   * @param nowMs the monotonic time in milliseconds
   * @return whether the report is done with: accepted, or rejected for so long that it is given up
   */
  public boolean onResponse(Response response, long timeMs, long nowMs) {
    sending = false;
    boolean old = windows.endMs(unsent.getFirst()) < timeMs - MAX_BACKLOG_MS;
    boolean done =
        switch (response) {
          case ACCEPTED -> true;
          case REJECTED -> old;
          case FAILED -> false;
        };
    nextSendMs = nowMs + (response == Response.ACCEPTED ? MIN_SPACING_MS : RETRY_DELAY_MS);
    if (done) {
      unsent.removeFirst();
    }
    return done;
  }

  /** Returns the number of windows that were summed and whose reports were not accepted. */
  public int unsentCount() {
    return unsent.size();
  }

  /** Returns the oldest window whose report was not accepted; it may not have ended yet. */
  public long oldestUnreported() {
    return unsent.isEmpty() ? nextWindow : unsent.getFirst();
  }
}
