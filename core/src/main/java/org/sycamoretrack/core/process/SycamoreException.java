package org.sycamoretrack.core.process;

import java.util.Objects;
import org.sycamoretrack.core.request.Outcome;

/** An error with a code and with what is known of the outcome of the request that met it. */
public final class SycamoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final Outcome outcome;

  /**
   * Creates an error.
   *
   * @param code the code
   * @param outcome what is known of the request
   * @param message one line for people
   */
  public SycamoreException(ErrorCode code, Outcome outcome, String message) {
    this(code, outcome, message, null);
  }

  /**
   * Creates an error that was caused by another.
   *
   * @param code the code
   * @param outcome what is known of the request
   * @param message one line for people
   * @param cause the cause, or null
   */
  public SycamoreException(ErrorCode code, Outcome outcome, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code);
    this.outcome = Objects.requireNonNull(outcome);
  }

  /** Returns the code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns what is known of the request that met the error. */
  public Outcome outcome() {
    return outcome;
  }
}
