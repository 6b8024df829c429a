package org.sycamoretrack.cli.process;

/** The exit codes of the program. Help prints the names of the constants. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** A node rejected the command, or the command failed on it. */
  FAILED(1),
  /** The command line, a file or the context is invalid; nothing was sent. */
  USAGE(2),
  /** A conditional change was rejected because the resource has a different version. */
  CONFLICT(3),
  /** No node could be reached. */
  UNREACHABLE(4),
  /** {@code diff} found differences. */
  DIFFERENT(5),
  /** The change was made, but {@code --wait} ended before it was in force everywhere. */
  INCOMPLETE(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the numeric exit status of the process. */
  public int number() {
    return number;
  }
}
