package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;

/**
 * The failure of a generation request or of one of its attempts.
 *
 * @param code the error code reported to the caller
 * @param outcome whether the request ran, as far as known
 * @param endpointCrashed whether the endpoint crashed while the request was in flight
 * @param message a one-line human-readable message
 */
public record GenerationFailure(
    ErrorCode code, ExecutionOutcome outcome, boolean endpointCrashed, String message) {

  /**
   * Returns a failure of a request that did not run.
   *
   * @param code the code
   * @param message a one-line human-readable message
   */
  public static GenerationFailure notRun(ErrorCode code, String message) {
    return new GenerationFailure(code, ExecutionOutcome.NOT_RUN, false, message);
  }

  /** Returns the failure as an exception. */
  public SycamoreException toException() {
    return new SycamoreException(code, outcome, message);
  }
}
