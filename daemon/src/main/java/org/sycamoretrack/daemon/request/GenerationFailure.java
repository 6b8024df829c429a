package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;

/**
 * Why an answer can't be had whole.
 *
 * @param code the code for the caller
 * @param outcome what is known of the request
 * @param endpointCrashed whether the endpoint broke off while the request was in flight
 * @param message one line for people
 */
public record GenerationFailure(
    ErrorCode code, Outcome outcome, boolean endpointCrashed, String message) {

  /**
   * Returns a failure of a request that did not run.
   *
   * @param code the code
   * @param message one line for people
   */
  public static GenerationFailure notRun(ErrorCode code, String message) {
    return new GenerationFailure(code, Outcome.NOT_RUN, false, message);
  }

  /** Returns the failure as an exception. */
  public SycamoreException toException() {
    return new SycamoreException(code, outcome, message);
  }
}
