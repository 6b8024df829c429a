package org.sycamoretrack.core.process;

import java.util.concurrent.TimeUnit;

/** The monotonic clock of the process, in milliseconds. */
public final class MonotonicClock {
  private MonotonicClock() {}

  /** Returns the current time. The origin is arbitrary; only differences are meaningful. */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
