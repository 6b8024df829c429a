package org.sycamoretrack.core.request.usage;

/**
 * The division of time into windows of equal length. Window k begins k lengths after the Unix
 * epoch.
 *
 * @param lengthMs the length of a window, in milliseconds
 */
public record UsageWindows(long lengthMs) {
  /** Checks the length. */
  public UsageWindows {
    if (lengthMs <= 0) {
      throw new IllegalArgumentException("the length of a window must be greater than 0");
    }
  }

  /** Returns the window that contains a time, in milliseconds since the Unix epoch. */
  public long at(long timeMs) {
    return Math.floorDiv(timeMs, lengthMs);
  }

  /** Returns the beginning of a window, in milliseconds since the Unix epoch. */
  public long startMs(long window) {
    return window * lengthMs;
  }

  /** Returns the end of a window (exclusive), in milliseconds since the Unix epoch. */
  public long endMs(long window) {
    return startMs(window + 1);
  }
}
