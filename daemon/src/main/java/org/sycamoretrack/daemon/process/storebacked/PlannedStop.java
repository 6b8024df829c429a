package org.sycamoretrack.daemon.process.storebacked;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.process.ServerDrain;
import org.sycamoretrack.transport.connection.HttpServer;

/**
 * Ends the connections of callers within the grace period of a planned stop.
 *
 * <p>From the start on, connections close with their next response. New ones are accepted for
 * {@value #MIN_ACCEPT_MS} ms, since clients learn of the stop late. Then those without a request
 * are closed until {@link #endMs}, at which all requests have to be answered. What remains until
 * the end of the grace period is for the last responses and for the work after them.
 */
final class PlannedStop {
  /**
   * New caller connections still arrive for some seconds after the node reports that it isn't
   * ready.
   */
  private static final long MIN_ACCEPT_MS = 3_500;

  /** Part of the grace period reserved for the work after the last response. */
  private static final long MARGIN_MS = 700;

  /** Part of {@link #MARGIN_MS} in which the last responses reach their callers. */
  private static final long LAST_RESPONSES_MS = 300;

  /** Part of {@link #MARGIN_MS} in which the last writes to the store end. */
  private static final long LAST_WRITES_MS = 500;

  private static final long POLL_INTERVAL_MS = 50;

  private final ServerDrain drain;
  private final long startedMs = MonotonicClock.nowMs();
  private final long endMs;

  /**
   * Begins a planned stop.
   *
   * @param callers the server for callers
   * @param graceMs the grace period, in milliseconds
   */
  PlannedStop(HttpServer callers, long graceMs) {
    this.endMs = startedMs + graceMs - MARGIN_MS;
    this.drain = new ServerDrain(callers);
    drain.begin();
  }

  /** Returns the time by which all requests have to be answered, by {@link MonotonicClock}. */
  long endMs() {
    return endMs;
  }

  /**
   * Ends the connections. Returns when none is open any more, or when the last responses have had
   * their time.
   *
   * @param endRequests answers the requests that are still open, called at {@link #endMs} at the
   *     earliest
   */
  void endConnections(Runnable endRequests) {
    pauseUntil(Math.min(endMs, startedMs + MIN_ACCEPT_MS), () -> false);
    drain.stopAccepting();
    if (!pauseUntil(endMs, drain::closeIdle)) {
      endRequests.run();
      pauseUntil(endMs + LAST_RESPONSES_MS, drain::closeAll);
    }
  }

  /** Waits until a condition holds, but not beyond {@link #endMs}. */
  void await(BooleanSupplier condition) {
    pauseUntil(endMs, condition);
  }

  /** Waits until the last writes have ended, for a part of the time after {@link #endMs}. */
  void awaitLastWrites(BooleanSupplier ended) {
    pauseUntil(endMs + LAST_WRITES_MS, ended);
  }

  /** Waits until a condition holds, but not beyond a time; returns whether it holds. */
  private static boolean pauseUntil(long untilMs, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      if (MonotonicClock.nowMs() >= untilMs || Thread.currentThread().isInterrupted()) {
        return false;
      }
      pause();
    }
    return true;
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
