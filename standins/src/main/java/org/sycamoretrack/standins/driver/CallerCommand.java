package org.sycamoretrack.standins.driver;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.process.StandinCommand;
import org.sycamoretrack.standins.process.Standins;

/** Runs one caller of a deployment against its running nodes. */
@Parameters(commandDescription = "One caller of a running deployment")
public final class CallerCommand implements StandinCommand {
  @Parameter(names = "--config", description = "File of the deployment", required = true)
  private String config;

  @Parameter(
      names = "--addresses",
      description = "File with the output of quickstart --serve",
      required = true)
  private String addresses;

  @Parameter(names = "--name", description = "Name of the caller", required = true)
  private String name;

  @Parameter(names = "--seconds", description = "How long to send calls")
  private int seconds = 10;

  /** Creates the command with its defaults. */
  public CallerCommand() {}

  @Override
  public String name() {
    return "caller";
  }

  @Override
  public int run() throws IOException, InterruptedException {
    Deployment deployment = Deployment.read(Path.of(config));
    Deployment.Caller caller =
        deployment.callers().stream()
            .filter(each -> each.name().equals(name))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("no caller named " + name));
    DriverContext context = AddressLines.read(deployment, Path.of(addresses));
    try (CallerStandin standin = CallerStandin.start(context, caller)) {
      TimeUnit.SECONDS.sleep(seconds);
      CallerReport report = standin.stop();
      standin.failureMessages().forEach(System.err::println);
      Standins.printJsonLine(report);
      return report.failed() == 0 ? 0 : 1;
    }
  }
}
