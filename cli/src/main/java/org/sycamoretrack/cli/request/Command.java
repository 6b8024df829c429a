package org.sycamoretrack.cli.request;

import org.sycamoretrack.cli.process.ExitCode;

/** A command of the program. JCommander binds the command line arguments to its fields. */
public interface Command {
  /** Returns the name of the command on the command line. */
  String name();

  /** Returns the examples shown by help, each a complete command line. */
  String[] examples();

  /**
   * Runs the command.
   *
   * @param client sends requests to the nodes
   * @param out receives the output
   * @return the exit code of the process
   * @throws org.sycamoretrack.cli.process.CliException if the command fails
   */
  ExitCode run(OperatorClient client, CommandOutput out);
}
