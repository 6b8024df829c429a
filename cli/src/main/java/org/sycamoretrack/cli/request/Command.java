package org.sycamoretrack.cli.request;

import org.sycamoretrack.cli.process.ExitCode;

/** A command of the program. Its fields hold the parameters of the command line. */
public interface Command {
  /** Returns the word that names it on the command line. */
  String name();

  /** Returns examples for the help, each a whole command line. */
  String[] examples();

  /**
   * Runs the command.
   *
   * @param client sends requests to the nodes
   * @param out where its output goes
   * @return how the process ends
   * @throws org.sycamoretrack.cli.process.CliException when it can't go on
   */
  ExitCode run(OperatorClient client, CommandOutput out);
}
