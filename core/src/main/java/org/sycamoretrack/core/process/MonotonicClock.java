package org.sycamoretrack.core.process;

import java.util.concurrent.TimeUnit;

/** The steady clock of the process, in milliseconds. */
public final class MonotonicClock {
  private MonotonicClock() {}

  /** Returns the time now; only differences mean anything. */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
