package org.sycamoretrack.daemon.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition within a time. */
final class Waiting {
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private Waiting() {}

  /**
   * Waits until a condition holds.
   *
   * @param timeoutMs the longest wait
   * @param condition the condition
   * @return whether it held in time
   */
  static boolean until(long timeoutMs, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos >= 0) {
        return false;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
    return true;
  }
}
