package org.sycamoretrack.cli.process;

/** A command that can't go on. It is shown as one line: code, message and hint. */
public final class CliException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final String code;
  private final String hint;

  /**
   * Creates a failure.
   *
   * @param exitCode how the process ends
   * @param code the code of the error, for example {@code version-conflict}
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
   * Returns a failure of the command line or of a file.
   *
   * @param message what is wrong
   * @param hint what the operator can do
   */
  public static CliException usage(String message, String hint) {
    return new CliException(ExitCode.USAGE, "invalid-request", message, hint);
  }

  /** Returns how the process ends. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns the line that is shown. */
  public String toErrorLine() {
    return "error " + code + ": " + getMessage().replace('\n', ' ') + " (hint: " + hint + ")";
  }
}
