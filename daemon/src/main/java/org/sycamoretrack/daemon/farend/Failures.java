package org.sycamoretrack.daemon.farend;

import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;

/** Reads what the failure of a stage says. */
public final class Failures {
  private static final System.Logger LOG = System.getLogger(Failures.class.getName());

  private Failures() {}

  /**
   * Returns the failure that a chain of stages began with.
   *
   * @param failure what a stage failed with
   */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  /**
   * Returns a callback that logs what it throws, which a stage would drop.
   *
   * @param callback the callback of a stage
   * @param <T> the value of the stage
   */
  public static <T> BiConsumer<T, Throwable> logged(BiConsumer<T, Throwable> callback) {
    return (value, failure) -> {
      try {
        callback.accept(value, failure);
      } catch (RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "callback-failed", e);
      }
    };
  }

  /**
   * Returns whether the failed call may have taken effect.
   *
   * @param failure what a stage failed with
   * @return the failure's outcome, {@code UNKNOWN} when it has none
   */
  public static Outcome outcome(Throwable failure) {
    return unwrap(failure) instanceof SycamoreException e ? e.outcome() : Outcome.UNKNOWN;
  }
}
