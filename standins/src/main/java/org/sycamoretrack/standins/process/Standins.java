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

/** Entry point of the stand-ins, with one subcommand for each. */
public final class Standins {
  private static final int EXIT_USAGE = 2;

  private Standins() {}

  private static List<StandinCommand> commands() {
    return List.of(
        new PlatformCommand(),
        new EngineCommand(),
        new ServiceCommand(),
        new TrainerCommand(),
        new CallerCommand(),
        new QuickstartCommand());
  }

  /**
   * Runs a subcommand.
   *
   * @param args name and options of the subcommand
   */
  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  private static int run(String[] args) throws Exception {
    Map<String, StandinCommand> commands = new LinkedHashMap<>();
    JCommander parser = JCommander.newBuilder().programName("standins").build();
    for (StandinCommand command : commands()) {
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
   * Prints a value as a JSON line to standard output.
   *
   * @param value a value that {@link Json#mapper} can serialize
   */
  public static void printJsonLine(Object value) {
    System.out.println(new String(Json.toBytes(value), StandardCharsets.UTF_8));
  }

  /** Blocks until the process is terminated. */
  public static void awaitTermination() throws InterruptedException {
    new CountDownLatch(1).await();
  }
}
