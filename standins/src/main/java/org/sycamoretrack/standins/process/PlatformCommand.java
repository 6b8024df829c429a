package org.sycamoretrack.standins.process;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;

/** Runs a {@link PlatformStandin} in a process. */
@Parameters(
    commandDescription = "In-memory table service, object store, host list and weight store")
final class PlatformCommand implements StandinCommand {
  @Parameter(names = "--port", description = "Port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--host-lag-ms", description = "Delay of changes in the host list")
  private int hostLagMs = 2_000;

  @Parameter(names = "--weights-bytes", description = "Size of the weights of each version")
  private int weightsBytes = 1 << 16;

  @Parameter(names = "--fetches-per-second", description = "Rate limit of the weight store")
  private double fetchesPerSecond = 8;

  @Parameter(names = "--fetch-burst", description = "Maximum burst of fetches")
  private int fetchBurst = 4;

  @Override
  public String name() {
    return "platform";
  }

  @Override
  public int run() throws InterruptedException {
    PlatformStandin platform =
        PlatformStandin.builder()
            .port(port)
            .hostLagMs(hostLagMs)
            .weightsBytes(weightsBytes)
            .fetchLimit(fetchesPerSecond, fetchBurst)
            .start();
    Standins.printJsonLine(Map.of("event", "ready", "port", platform.address().getPort()));
    Standins.awaitTermination();
    return 0;
  }
}
