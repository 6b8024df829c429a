package org.sycamoretrack.standins.process;

/**
 * A sub-command of {@link Standins}. Its fields carry JCommander's {@code @Parameter}, its class
 * {@code @Parameters} with the description.
 */
public interface Command {
  /** Returns the name of the sub-command, for example {@code engine}. */
  String name();

  /**
   * Runs the command.
   *
   * @return the exit code of the process; a command that serves does not return
   * @throws Exception when the command fails; the message is shown
   */
  int run() throws Exception;
}
