package org.sycamoretrack.standins.driver;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import org.sycamoretrack.standins.process.StandinCommand;
import org.sycamoretrack.standins.process.Standins;

/** Runs one trainer of a deployment against its running nodes. */
@Parameters(commandDescription = "One trainer of a running deployment")
public final class TrainerCommand implements StandinCommand {
  private static final long STEP_TIMEOUT_MS = 180_000;

  @Parameter(names = "--config", description = "File of the deployment", required = true)
  private String config;

  @Parameter(
      names = "--addresses",
      description = "File with the output of quickstart --serve",
      required = true)
  private String addresses;

  @Parameter(names = "--name", description = "Name of the trainer", required = true)
  private String name;

  @Parameter(names = "--seed", description = "Seed of the samples")
  private long seed = 1;

  /** Creates the command with its defaults. */
  public TrainerCommand() {}

  @Override
  public String name() {
    return "trainer";
  }

  @Override
  public int run() throws IOException {
    Deployment deployment = Deployment.read(Path.of(config));
    Deployment.Trainer trainer =
        deployment.trainers().stream()
            .filter(each -> each.name().equals(name))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("no trainer named " + name));
    TrainerReport report =
        new TrainerStandin(
                AddressLines.read(deployment, Path.of(addresses)),
                trainer,
                new TrainerOptions(seed, STEP_TIMEOUT_MS, 0))
            .run();
    Standins.printJsonLine(report);
    return report.missing() == 0 ? 0 : 1;
  }
}
