package org.sycamoretrack.core.process;

import java.util.Objects;
import org.sycamoretrack.core.request.ExecutionOutcome;

/** An error with a code and the known outcome of the request that failed with it. */
public final class SycamoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final ExecutionOutcome outcome;

  /**
   * Creates an exception.
   *
   * @param code the error code
   * @param outcome the known outcome of the request
   * @param message a one-line description
   */
  public SycamoreException(ErrorCode code, ExecutionOutcome outcome, String message) {
    this(code, outcome, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code the error code
   * @param outcome the known outcome of the request
   * @param message a one-line description
   * @param cause the cause, or null
   */
  public SycamoreException(
      ErrorCode code, ExecutionOutcome outcome, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code);
    this.outcome = Objects.requireNonNull(outcome);
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the known outcome of the request that failed with this error. */
  public ExecutionOutcome outcome() {
    return outcome;
  }
}
