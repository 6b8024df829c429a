package org.sycamoretrack.bench.connection;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A discrete-event clock: a queue of events whose time advances from event to event.
 *
 * <p>Events at the same time run in the order in which they were added, so that a run depends only
 * on its seed.
 */
public final class VirtualTime {
  private static final double NS_PER_MS = 1e6;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeNs).thenComparingLong(Event::sequence));
  private long nowNs;
  private long nextSequence;

  private record Event(long timeNs, long sequence, Runnable action) {}

  /** Returns the current time in milliseconds. */
  public double nowMs() {
    return nowNs / NS_PER_MS;
  }

  /** Returns the current time in whole milliseconds, the unit of the policies. */
  public long nowWholeMs() {
    return (long) (nowNs / NS_PER_MS);
  }

  /**
   * Runs an action later.
   *
   * @param delayMs the time until then
   * @param action the action
   */
  public void after(double delayMs, Runnable action) {
    long timeNs = nowNs + Math.max(0, (long) (delayMs * NS_PER_MS));
    events.add(new Event(timeNs, nextSequence++, action));
  }

  /**
   * Runs an action at equal intervals for as long as the run lasts.
   *
   * @param intervalMs the interval
   * @param action the action
   */
  public void every(double intervalMs, Runnable action) {
    after(
        intervalMs,
        () -> {
          action.run();
          every(intervalMs, action);
        });
  }

  /**
   * Runs events until a time.
   *
   * @param endMs the time
   */
  public void runUntil(double endMs) {
    runWhile(() -> !events.isEmpty() && events.peek().timeNs() / NS_PER_MS <= endMs);
    nowNs = Math.max(nowNs, (long) (endMs * NS_PER_MS));
  }

  /**
   * Runs events while a condition holds.
   *
   * @param condition evaluated before each event
   */
  public void runWhile(BooleanSupplier condition) {
    while (condition.getAsBoolean() && !events.isEmpty()) {
      Event event = events.poll();
      nowNs = event.timeNs();
      event.action().run();
    }
  }
}
