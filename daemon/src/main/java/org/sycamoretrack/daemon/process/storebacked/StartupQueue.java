package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.client.Failures;

/**
 * Holds the requests that arrive before a node has read what it needs from the store.
 *
 * <p>After a power loss, clients that find no ready node connect to a node as soon as it listens.
 * The node can handle their requests a few store calls later, so an immediate rejection would use
 * up their retries for nothing. A request is handled in order of arrival once the condition holds,
 * or when it has waited for the maximum time; its handler then rejects it. When the queue is full,
 * requests are handled at once.
 *
 * <p>Once the condition has held, the queue stays open: a node that loses the store later serves
 * requests from what it has read. Confined to one event loop.
 */
final class StartupQueue {
  private static final long CHECK_INTERVAL_MS = 10;

  /** A request that waits. */
  private record Waiting(long deadlineMs, Runnable action) {}

  private final EventLoop loop;
  private final BooleanSupplier condition;
  private final long maxWaitMs;
  private final int maxRequests;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private boolean open;
  private boolean checkScheduled;

  /**
   * Creates an empty queue.
   *
   * @param loop the event loop of the requests
   * @param condition whether requests can be handled; evaluated on the event loop
   * @param maxWaitMs how long a request waits for the condition
   * @param maxRequests how many requests may wait
   */
  StartupQueue(EventLoop loop, BooleanSupplier condition, long maxWaitMs, int maxRequests) {
    this.loop = loop;
    this.condition = condition;
    this.maxWaitMs = maxWaitMs;
    this.maxRequests = maxRequests;
  }

  /**
   * Handles a request as soon as the condition holds, at once if it does, or after the maximum
   * time.
   *
   * @param action handles the request, whether the condition holds or not
   */
  void handle(Runnable action) {
    release();
    if (open || waiting.size() >= maxRequests) {
      action.run();
      return;
    }
    waiting.add(new Waiting(MonotonicClock.nowMs() + maxWaitMs, action));
    scheduleCheck();
  }

  private void scheduleCheck() {
    if (!checkScheduled && !waiting.isEmpty()) {
      checkScheduled = true;
      loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    release();
    checkScheduled = false;
    scheduleCheck();
  }

  private void release() {
    open = open || condition.getAsBoolean();
    long nowMs = MonotonicClock.nowMs();
    while (!waiting.isEmpty() && (open || waiting.peek().deadlineMs() <= nowMs)) {
      Failures.periodicTask("request held at the start", waiting.poll().action()).run();
    }
  }
}
