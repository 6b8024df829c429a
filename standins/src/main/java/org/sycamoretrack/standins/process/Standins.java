package org.sycamoretrack.standins.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.sycamoretrack.standins.driver.CallerCommand;
import org.sycamoretrack.standins.driver.QuickstartCommand;
import org.sycamoretrack.standins.driver.TrainerCommand;
import org.sycamoretrack.transport.process.Json;

/** The main class of the stand-ins: a registry of sub-commands. */
public final class Standins {
  private static final int EXIT_USAGE = 2;

  private Standins() {}

  private static List<Command> commands() {
    return List.of(
        new PlatformCommand(),
        new EngineCommand(),
        new ServiceCommand(),
        new TrainerCommand(),
        new CallerCommand(),
        new QuickstartCommand());
  }

  /**
   * Runs a sub-command.
   *
   * @param args its name and options
   */
  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  private static int run(String[] args) throws Exception {
    Map<String, Command> commands = new LinkedHashMap<>();
    JCommander parser = JCommander.newBuilder().programName("standins").build();
    for (Command command : commands()) {
      commands.put(command.name(), command);
      parser.addCommand(command.name(), command);
    }
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      System.err.println("error invalid-request: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (parser.getParsedCommand() == null) {
      parser.usage();
      return EXIT_USAGE;
    }
    return commands.get(parser.getParsedCommand()).run();
  }

  /**
   * Prints a value on standard output as a line of JSON.
   *
   * @param value what {@link Json#mapper} can write
   */
  public static void printJsonLine(Object value) {
    System.out.println(new String(Json.bytes(value), StandardCharsets.UTF_8));
  }

  /** Waits until the process is told to stop. */
  public static void awaitTermination() throws InterruptedException {
    new CountDownLatch(1).await();
  }
}
