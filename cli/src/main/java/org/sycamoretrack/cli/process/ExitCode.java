package org.sycamoretrack.cli.process;

/** The exit codes of the program. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0),
  /** A node refused the command or failed. */
  FAILED(1),
  /** The command line, a file or the context is wrong; nothing was sent. */
  USAGE(2),
  /** A conditional change met another version. */
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

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }
}
