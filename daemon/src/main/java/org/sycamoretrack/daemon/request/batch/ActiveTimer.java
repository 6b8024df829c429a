package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.daemon.client.Failures;

/**
 * Runs a task at an interval while there is work for it. Most nodes own no batch at most times, and
 * a timer that runs all the time would wake up each of them dozens of times a second.
 *
 * <p>Confined to the event loop.
 */
final class ActiveTimer {
  private final EventLoop loop;
  private final long intervalMs;
  private final BooleanSupplier hasWork;
  private final Runnable task;
  private boolean scheduled;

  /**
   * Creates a timer that isn't running.
   *
   * @param loop the event loop on which the task runs
   * @param name the name of the task in the log line of a failure
   * @param intervalMs the time between two runs, in milliseconds
   * @param hasWork returns whether the task has to run again
   * @param task the task
   */
  ActiveTimer(
      EventLoop loop, String name, long intervalMs, BooleanSupplier hasWork, Runnable task) {
    this.loop = loop;
    this.intervalMs = intervalMs;
    this.hasWork = hasWork;
    this.task = Failures.periodicTask(name, task);
  }

  /** Starts the timer unless it is running. To be called when work is added. */
  void start() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::run, intervalMs, TimeUnit.MILLISECONDS);
    }
  }

  private void run() {
    scheduled = false;
    task.run();
    if (hasWork.getAsBoolean()) {
      start();
    }
  }
}
