package org.sycamoretrack.daemon.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition with a timeout, by polling. */
final class Waiting {
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private Waiting() {}

  /**
   * Waits until a condition holds.
   *
   * @param timeoutMs the timeout, in milliseconds
   * @param condition polled on the calling thread
   * @return whether the condition became true before the timeout
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
