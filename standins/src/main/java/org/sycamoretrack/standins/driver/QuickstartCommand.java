package org.sycamoretrack.standins.driver;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.standins.process.StandinCommand;
import org.sycamoretrack.standins.process.Standins;

/** Starts a deployment, runs its trainers and callers, and prints their combined report. */
@Parameters(commandDescription = "A complete deployment with trainers and callers")
public final class QuickstartCommand implements StandinCommand {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Parameter(names = "--config", description = "File of the deployment")
  private String config = "deploy/quickstart.json";

  @Parameter(names = "--serve", description = "Print the addresses and run until stopped")
  private boolean serve;

  @Parameter(names = "--daemon-jar", description = "Jar of a node")
  private String daemonJar = "daemon/target/sycamoretrack-daemon-0.1.0-SNAPSHOT-all.jar";

  @Parameter(names = "--standins-jar", description = "Jar of the stand-ins")
  private String standinsJar = "standins/target/sycamoretrack-standins-0.1.0-SNAPSHOT-all.jar";

  @Parameter(names = "--run-directory", description = "Directory for settings and logs")
  private String runDirectory = ".run/quickstart";

  /** Creates the command with its defaults. */
  public QuickstartCommand() {}

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public int run() throws InterruptedException {
    Deployment deployment;
    try {
      deployment = Deployment.read(Path.of(config));
    } catch (IllegalArgumentException e) {
      System.err.println("error invalid-request: " + e.getMessage());
      return EXIT_USAGE;
    }
    try {
      return run(deployment);
    } catch (IllegalStateException e) {
      System.err.println("error internal: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private int run(Deployment deployment) throws InterruptedException {
    System.err.println("starting " + deployment.name() + ", logs in " + runDirectory);
    try (Launcher launcher = Launcher.start(deployment, options())) {
      Runtime.getRuntime().addShutdownHook(new Thread(launcher::close));
      if (serve) {
        AddressLines.of(launcher.context()).forEach(Standins::printJsonLine);
        Standins.awaitTermination();
      }
      Quickstart quickstart = new Quickstart(launcher, System.err::println);
      Standins.printJsonLine(quickstart.run());
      return quickstart.isClean() ? 0 : EXIT_FAILED;
    }
  }

  private LaunchOptions options() {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    return new LaunchOptions(
        List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-jar", daemonJar),
        List.of(java, "-Xmx256m", "-XX:+UseSerialGC", "-jar", standinsJar),
        Path.of(runDirectory),
        List.of(),
        List.of(),
        Map.of());
  }
}
