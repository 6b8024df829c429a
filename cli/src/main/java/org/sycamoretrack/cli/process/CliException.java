package org.sycamoretrack.cli.process;

/** Thrown when a command fails. Printed as one line with error code, message and hint. */
public final class CliException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final String code;
  private final String hint;

  /**
   * Creates an exception.
   *
   * @param exitCode the exit code of the process
   * @param code the error code, for example {@code version-conflict}
   * @param message what happened
   * @param hint what the operator can do
   */
  public CliException(ExitCode exitCode, String code, String message, String hint) {
    super(message);
    this.exitCode = exitCode;
    this.code = code;
    this.hint = hint;
  }

  /**
   * Returns an exception for an invalid command line or file.
   *
   * @param message what is wrong
   * @param hint what the operator can do
   */
  public static CliException usage(String message, String hint) {
    return new CliException(ExitCode.USAGE, "invalid-request", message, hint);
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns the line to print on the standard error. */
  public String toErrorLine() {
    return "error " + code + ": " + getMessage().replace('\n', ' ') + " (hint: " + hint + ")";
  }
}
