package org.sycamoretrack.daemon.platform;

import java.util.concurrent.CompletionException;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;

/** Reads what the failure of a stage says. */
public final class Failures {
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
   * Returns whether the failed call may have taken effect.
   *
   * @param failure what a stage failed with
   * @return the failure's outcome, {@code UNKNOWN} when it has none
   */
  public static Outcome outcome(Throwable failure) {
    return unwrap(failure) instanceof SycamoreException e ? e.outcome() : Outcome.UNKNOWN;
  }
}
