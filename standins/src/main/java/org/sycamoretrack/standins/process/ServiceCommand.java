package org.sycamoretrack.standins.process;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.transport.connection.EventLoops;

/** Runs one or more {@link ServiceStandin}s in a process. */
@Parameters(commandDescription = "Plain services: lookups, bookings and a scorer")
final class ServiceCommand implements StandinCommand {
  @Parameter(names = "--port", description = "First port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--count", description = "Number of services, on consecutive ports")
  private int count = 1;

  @Parameter(names = "--service-time-ms", description = "Duration of a call")
  private int serviceTimeMs = 5;

  @Parameter(
      names = "--unscorable-share",
      description = "Share of the texts for which the scorer always reports an error, from 0 to 1")
  private double unscorableShare;

  @Override
  public String name() {
    return "service";
  }

  @Override
  public int run() throws InterruptedException {
    EventLoopGroup group = EventLoops.start("service", 1);
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int servicePort = port == 0 ? 0 : port + i;
      ServiceStandin service = ServiceStandin.start(group, servicePort, serviceTimeMs);
      service.setUnscorableShare(unscorableShare);
      ports.add(service.address().getPort());
    }
    Standins.printJsonLine(Map.of("event", "ready", "port", ports.get(0), "ports", ports));
    Standins.awaitTermination();
    return 0;
  }
}
