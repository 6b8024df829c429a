package org.sycamoretrack.daemon.process;

import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ReferenceClock;
import org.sycamoretrack.daemon.client.StoreTimeListener;

/** The true time as this process estimates it, see {@link ReferenceClock}. Thread-safe. */
public final class TrueTime implements StoreTimeListener {
  private final ReferenceClock clock = new ReferenceClock();

  /** Creates an instance that follows the host's wall clock until the store has responded. */
  public TrueTime() {
    readWallClock();
  }

  /** Reads the host's wall clock. To be called once a second. */
  public synchronized void readWallClock() {
    clock.onWallClock(System.currentTimeMillis(), MonotonicClock.nowMs());
  }

  @Override
  public synchronized void onStoreTime(long storeMs, long sentMs, long receivedMs) {
    clock.onReference(storeMs, sentMs, receivedMs);
  }

  /** Returns the estimated true time in milliseconds since the Unix epoch. */
  public synchronized long nowMs() {
    return clock.timeMs(MonotonicClock.nowMs());
  }

  /** Returns whether the estimate is based on the time of the store. */
  public synchronized boolean isStoreTimeKnown() {
    return clock.isReferenceKnown();
  }
}
