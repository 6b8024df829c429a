package org.sycamoretrack.daemon.process;

import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;

/**
 * Passes the results of a service's asynchronous calls to the control thread without losing any.
 *
 * <p>The queue of the control thread is bounded and may refuse a command, but a service would wait
 * forever for a lost result. Results are therefore queued here and processed on the control thread
 * either by a command in its queue or at the service's next poll. Their number is bounded by the
 * number of pending calls of the service.
 */
public final class ControlInbox {
  /** Passes commands to the control thread. */
  @FunctionalInterface
  public interface ControlExecutor {
    /**
     * Submits a command.
     *
     * @param command runs on the control thread
     * @return false if the command was refused and will not run
     */
    boolean execute(Runnable command);
  }

  private final ControlExecutor control;
  private final Queue<Runnable> pendingActions = new ConcurrentLinkedQueue<>();

  /**
   * Creates an inbox.
   *
   * @param control passes commands to the control thread
   */
  public ControlInbox(ControlExecutor control) {
    this.control = control;
  }

  /**
   * Submits a command that may be refused.
   *
   * @param command runs on the control thread
   * @return false if the queue is full and the command will not run
   */
  public boolean execute(Runnable command) {
    return control.execute(command);
  }

  /**
   * Submits a command that must not be lost: if the queue is full, it runs at the next {@link
   * #drain}. The caller must bound the number of such commands.
   *
   * @param command runs on the control thread
   */
  public void submit(Runnable command) {
    pendingActions.add(command);
    control.execute(this::drain);
  }

  /**
   * Handles the result of a call on the control thread.
   *
   * @param stage the pending call
   * @param action called with the value, or with null and the failure
   */
  public <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    stage.whenComplete((value, failure) -> submit(() -> action.accept(value, failure)));
  }

  /** Processes the queued results. Called on the control thread. */
  public void drain() {
    Runnable action;
    while ((action = pendingActions.poll()) != null) {
      action.run();
    }
  }
}
