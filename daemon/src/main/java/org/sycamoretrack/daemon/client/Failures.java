package org.sycamoretrack.daemon.client;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.process.LogEvent;

/** Helpers for failures of completion stages and of callbacks. */
public final class Failures {
  private static final System.Logger LOG = System.getLogger(Failures.class.getName());

  private Failures() {}

  /**
   * Returns the original failure of a chain of stages, without the {@link CompletionException}s
   * around it.
   *
   * @param failure the failure of a stage
   */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  /**
   * Returns a callback that logs what it throws, which the stage would otherwise discard silently.
   *
   * @param callback the callback of a stage
   * @param <T> the type of the value of the stage
   */
  public static <T> BiConsumer<T, Throwable> loggingExceptions(BiConsumer<T, Throwable> callback) {
    return (value, failure) -> {
      try {
        callback.accept(value, failure);
      } catch (RuntimeException | Error e) {
        LOG.log(System.Logger.Level.ERROR, "callback-failed", e);
      }
    };
  }

  /**
   * Returns a task that logs what it throws and never throws itself, for scheduling at a fixed
   * rate. An executor silently cancels a periodic task that throws.
   *
   * @param name the name of the task in the log
   * @param task the task
   */
  public static Runnable periodicTask(String name, Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        LOG.log(
            System.Logger.Level.ERROR,
            LogEvent.of("task-failed")
                .with("task", name)
                .with("reason", e.toString())
                .with("at", e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString()));
      }
    };
  }

  /**
   * Adds a timeout to a stage. The call itself is not cancelled and may still take effect.
   *
   * @param stage the stage
   * @param loop the event loop that runs the timer
   * @param timeoutMs the timeout, in milliseconds
   * @param <T> the type of the value of the stage
   * @return a stage that fails with the outcome {@code UNKNOWN} on a timeout
   */
  public static <T> CompletionStage<T> withTimeout(
      CompletionStage<T> stage, EventLoop loop, long timeoutMs) {
    CompletableFuture<T> bounded = new CompletableFuture<>();
    ScheduledFuture<?> timer =
        loop.schedule(
            () ->
                bounded.completeExceptionally(
                    new SycamoreException(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        ExecutionOutcome.UNKNOWN,
                        "no response within " + timeoutMs + " ms")),
            timeoutMs,
            TimeUnit.MILLISECONDS);
    stage.whenComplete(
        (value, failure) -> {
          timer.cancel(false);
          if (failure == null) {
            bounded.complete(value);
          } else {
            bounded.completeExceptionally(failure);
          }
        });
    return bounded;
  }

  /**
   * Returns whether the failed call may have taken effect.
   *
   * @param failure the failure of a stage
   * @return the outcome of the failure, {@code UNKNOWN} when it has none
   */
  public static ExecutionOutcome outcome(Throwable failure) {
    return unwrap(failure) instanceof SycamoreException e ? e.outcome() : ExecutionOutcome.UNKNOWN;
  }
}
