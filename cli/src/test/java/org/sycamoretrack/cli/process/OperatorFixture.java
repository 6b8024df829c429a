package org.sycamoretrack.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.agrona.concurrent.SystemNanoClock;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.daemon.client.HttpTableStore;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.ControlAgent;
import org.sycamoretrack.daemon.process.MembershipService;
import org.sycamoretrack.daemon.process.OperatorApi;
import org.sycamoretrack.daemon.process.StateSource;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;

/** Starts nodes with a control plane and an operator API, on a simulated platform. */
final class OperatorFixture implements AutoCloseable {
  private static final long SEED = 7;
  private static final String TOKEN = "secret";

  final PlatformStandin platform = PlatformStandin.builder().start();
  final Map<String, HttpServer> servers = new LinkedHashMap<>();
  final Map<String, ConfigurationService> configurations = new LinkedHashMap<>();
  private final EventLoopGroup group = EventLoops.start("fixture", 2);
  private final List<ControlAgent> controls = new ArrayList<>();
  private final List<PeerLink> links = new ArrayList<>();

  void start(String nodeId) {
    ControlAgent control = new ControlAgent(1_024, SystemNanoClock.INSTANCE, new Random(SEED));
    PeerIdentity[] identity = new PeerIdentity[1];
    PeerLink link =
        PeerLink.builder().group(group).address(loopback()).identity(() -> identity[0]).start();
    String address = "127.0.0.1:" + link.address().getPort();
    identity[0] = new PeerIdentity(nodeId, "svea-a", "svealand", 1, address);
    MembershipService membership =
        MembershipService.builder()
            .control(control)
            .link(link)
            .self(new Member(nodeId, "svea-a", "svealand", address, 1, 0, MemberState.ALIVE, 0))
            .seeds(links.stream().map(PeerLink::address).toList())
            .build();
    ConfigurationService configuration =
        new ConfigurationService(
            control,
            link,
            membership::view,
            new HttpTableStore(new HttpClient(group, 2_000), platform.address(), 2_000),
            new Random(SEED));
    configuration.onChange(next -> membership.setConfigVersion(next.version()));
    OperatorApi api = OperatorApi.builder().configuration(configuration).token(TOKEN).build();
    api.register(source("control", () -> controlState(configuration, membership)));
    api.register(source("requests", OperatorFixture::requestsState));
    control.start();
    membership.start();
    configuration.start();
    servers.put(nodeId, HttpServer.builder().group(group).address(loopback()).handler(api).start());
    configurations.put(nodeId, configuration);
    controls.add(control);
    links.add(link);
  }

  private static InetSocketAddress loopback() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private static StateSource source(String name, java.util.function.Supplier<JsonNode> state) {
    return new StateSource() {
      @Override
      public String name() {
        return name;
      }

      @Override
      public JsonNode state() {
        return state.get();
      }
    };
  }

  private static JsonNode controlState(
      ConfigurationService configuration, MembershipService membership) {
    ObjectNode state = Json.object();
    state.put("configurationVersion", configuration.current().version());
    state.put("leaseHeld", true).put("leaseEpoch", 1).put("controlQueueLength", 0);
    ArrayNode members = state.putArray("members");
    for (Member member : membership.view().members()) {
      members
          .addObject()
          .put("nodeId", member.nodeId())
          .put("state", member.state().toString())
          .put("configVersion", member.configVersion());
    }
    return state;
  }

  private static JsonNode requestsState() {
    ObjectNode state = Json.object();
    state.putArray("endpoints").addObject().put("name", "m-2").put("inFlight", 1);
    state
        .putArray("steps")
        .addObject()
        .put("track", "cut")
        .put("step", 12)
        .put("slots", 512)
        .put("received", 7);
    return state;
  }

  /** Returns the content of a context file that refers to a token file. */
  String context(String tokenFile) {
    ObjectNode context = Json.object().put("tokenFile", tokenFile);
    ObjectNode nodes = context.putObject("nodes");
    servers.forEach(
        (nodeId, server) -> nodes.put(nodeId, "127.0.0.1:" + server.address().getPort()));
    return context.toString();
  }

  static String token() {
    return TOKEN;
  }

  @Override
  public void close() {
    servers.values().forEach(HttpServer::close);
    links.forEach(PeerLink::close);
    controls.forEach(ControlAgent::close);
    platform.close();
    EventLoops.stop(group);
  }
}
