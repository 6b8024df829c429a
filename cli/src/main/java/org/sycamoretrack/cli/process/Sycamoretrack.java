package org.sycamoretrack.cli.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.netty.channel.EventLoopGroup;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.cli.request.ApplyCommand;
import org.sycamoretrack.cli.request.Command;
import org.sycamoretrack.cli.request.CommandOutput;
import org.sycamoretrack.cli.request.DeleteCommand;
import org.sycamoretrack.cli.request.DiffCommand;
import org.sycamoretrack.cli.request.DrainCommand;
import org.sycamoretrack.cli.request.DumpCommand;
import org.sycamoretrack.cli.request.GetCommand;
import org.sycamoretrack.cli.request.OperatorClient;
import org.sycamoretrack.cli.request.StatusCommand;
import org.sycamoretrack.cli.request.StepsCommand;
import org.sycamoretrack.cli.request.TracksCommand;
import org.sycamoretrack.cli.request.UndrainCommand;
import org.sycamoretrack.cli.request.ValidateCommand;
import org.sycamoretrack.cli.request.WatchCommand;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;

/**
 * Main class of the command line tool for operators.
 *
 * <p>Results are printed on the standard output. An error is printed as one line on the standard
 * error, with its code and a hint. The exit codes are those of {@link ExitCode}.
 */
public final class Sycamoretrack {
  private static final String PROGRAM = "sycamoretrack";
  private static final String HELP_COMMAND = "help";
  private static final String DEFAULT_CONTEXT = "sycamoretrack.json";
  private static final String CONTEXT_VARIABLE = "SYCAMORETRACK_CONTEXT";
  private static final int CONNECT_TIMEOUT_MS = 2_000;

  private final PrintStream out;
  private final PrintStream err;
  private final Map<String, Command> commands = new LinkedHashMap<>();

  private Sycamoretrack(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
    List<Command> all =
        List.of(
            new ApplyCommand(),
            new GetCommand(),
            new DeleteCommand(),
            new DiffCommand(),
            new DrainCommand(),
            new UndrainCommand(),
            new TracksCommand(),
            new StepsCommand(),
            new WatchCommand(),
            new StatusCommand(),
            new DumpCommand(),
            new ValidateCommand());
    all.forEach(command -> commands.put(command.name(), command));
  }

  /**
   * Runs a command line.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).number());
  }

  /**
   * Runs a command line in this process.
   *
   * @param args the command line arguments
   * @param out the stream for results
   * @param err the stream for the error line
   * @return the exit code of the process
   */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    return new Sycamoretrack(out, err).run(args);
  }

  private ExitCode run(String[] args) {
    List<String> arguments = new ArrayList<>(List.of(args));
    if (arguments.isEmpty()
        || arguments.get(0).equals(HELP_COMMAND)
        || arguments.get(0).equals("--help")) {
      return help(arguments.size() > 1 ? arguments.get(1) : null);
    }
    try {
      return dispatch(arguments);
    } catch (CliException e) {
      err.println(e.toErrorLine());
      return e.exitCode();
    }
  }

  private ExitCode dispatch(List<String> arguments) {
    String contextFile = removeContextOption(arguments);
    JCommander parser = createParser();
    try {
      parser.parse(arguments.toArray(new String[0]));
    } catch (ParameterException e) {
      throw CliException.usage(e.getMessage(), PROGRAM + " help [COMMAND]");
    }
    Command command = commands.get(parser.getParsedCommand());
    if (command == null) {
      throw CliException.usage("no command given", PROGRAM + " help");
    }
    return run(command, CliContext.read(Path.of(contextFile)));
  }

  /** Removes {@code --context FILE} from the arguments, at any position, and returns the file. */
  private static String removeContextOption(List<String> arguments) {
    int index = arguments.indexOf("--context");
    if (index < 0) {
      return System.getenv().getOrDefault(CONTEXT_VARIABLE, DEFAULT_CONTEXT);
    }
    if (index + 1 >= arguments.size()) {
      throw CliException.usage("--context requires a file", PROGRAM + " help");
    }
    arguments.remove(index);
    return arguments.remove(index);
  }

  private JCommander createParser() {
    JCommander parser = JCommander.newBuilder().programName(PROGRAM).build();
    commands.forEach(parser::addCommand);
    return parser;
  }

  private ExitCode run(Command command, CliContext context) {
    EventLoopGroup group = EventLoops.start(PROGRAM, 1);
    try {
      HttpClient client = new HttpClient(group, CONNECT_TIMEOUT_MS);
      return command.run(new OperatorClient(context, client), new CommandOutput(out));
    } finally {
      EventLoops.stop(group);
    }
  }

  private ExitCode help(String commandName) {
    JCommander parser = createParser();
    Command command = commands.get(commandName);
    if (commandName == null) {
      StringBuilder usage = new StringBuilder();
      parser.getUsageFormatter().usage(usage);
      out.println(usage);
      out.println(
          "Every command takes --context FILE (default "
              + DEFAULT_CONTEXT
              + ", or the file that "
              + CONTEXT_VARIABLE
              + " names): a JSON file with the operator addresses of the nodes.");
      out.println("Exit codes:");
      for (ExitCode code : ExitCode.values()) {
        out.println("  " + code.number() + "  " + code);
      }
      return ExitCode.OK;
    }
    if (command == null) {
      err.println(
          CliException.usage("unknown command " + commandName, PROGRAM + " help").toErrorLine());
      return ExitCode.USAGE;
    }
    StringBuilder usage = new StringBuilder();
    parser.getUsageFormatter().usage(commandName, usage);
    out.println(usage);
    out.println("Examples:");
    for (String example : command.examples()) {
      out.println("  " + example);
    }
    return ExitCode.OK;
  }
}
