package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;

/**
 * Runs an action on an event loop after the pending events, once for all requests made until then.
 *
 * <p>Confined to the event loop.
 */
final class CoalescedTask {
  private final EventLoop loop;
  private final Runnable action;
  private boolean pending;

  CoalescedTask(EventLoop loop, Runnable action) {
    this.loop = loop;
    this.action = action;
  }

  /** Requests a run of the action. */
  void request() {
    if (!pending) {
      pending = true;
      loop.execute(
          () -> {
            pending = false;
            action.run();
          });
    }
  }
}
