package org.sycamoretrack.daemon.process;

import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;

/**
 * Brings the results of a service's calls back to the control thread without losing any.
 *
 * <p>The control thread's queue is bounded and may refuse a command, but a result that is lost
 * would leave its service waiting for ever. Results are therefore kept here and taken in whenever
 * the control thread comes by: through its queue, or at the service's next poll. Their number is
 * bounded by that of the service's calls under way.
 */
public final class ControlInbox {
  /** Hands a command to the control thread. */
  @FunctionalInterface
  public interface ControlExecutor {
    /**
     * Hands over a command.
     *
     * @param command runs on the control thread
     * @return false when the command was refused and will not run
     */
    boolean execute(Runnable command);
  }

  private final ControlExecutor control;
  private final Queue<Runnable> results = new ConcurrentLinkedQueue<>();

  /**
   * Creates an inbox.
   *
   * @param control hands commands to the control thread
   */
  public ControlInbox(ControlExecutor control) {
    this.control = control;
  }

  /**
   * Hands a new command to the control thread.
   *
   * @param command runs on the control thread
   * @return false when its queue is full and the command will not run
   */
  public boolean execute(Runnable command) {
    return control.execute(command);
  }

  /**
   * Hands over a command that must not be lost: when the queue is full it runs at the next {@link
   * #drain}. Its sender must bound the number of such commands.
   *
   * @param command runs on the control thread
   */
  public void submit(Runnable command) {
    results.add(command);
    control.execute(this::drain);
  }

  /**
   * Takes a call's result on the control thread.
   *
   * @param stage the call
   * @param action takes the value, or null and the failure
   */
  public <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    stage.whenComplete((value, failure) -> submit(() -> action.accept(value, failure)));
  }

  /** Takes in the results that have arrived. Called on the control thread. */
  public void drain() {
    Runnable result;
    while ((result = results.poll()) != null) {
      result.run();
    }
  }
}
