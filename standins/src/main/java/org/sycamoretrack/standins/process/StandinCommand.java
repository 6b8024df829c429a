package org.sycamoretrack.standins.process;

/**
 * A subcommand of {@link Standins}. Options are fields annotated with JCommander's
 * {@code @Parameter}; the class is annotated with {@code @Parameters}, which gives the description.
 */
public interface StandinCommand {
  /** Returns the name of the subcommand, for example {@code engine}. */
  String name();

  /**
   * Runs the command.
   *
   * @return the exit code of the process; a command that runs a server does not return
   * @throws Exception if the command fails; its message is printed
   */
  int run() throws Exception;
}
