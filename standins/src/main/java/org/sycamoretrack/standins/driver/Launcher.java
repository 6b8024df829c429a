package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.standins.history.HistoryRecord.CutBegan;
import org.sycamoretrack.standins.history.HistoryRecord.CutEnded;
import org.sycamoretrack.standins.history.HistoryRecord.StopBegan;
import org.sycamoretrack.standins.history.HistoryRecord.StopEnded;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;

/**
 * Starts and stops a deployment as operating-system processes on the loopback address: one for the
 * platform, one for the endpoints of each pool and one for each node.
 *
 * <p>A node keeps its peer port across restarts; its other ports change. The balancer contains the
 * nodes that are running. Not thread-safe, except for {@link #close}.
 */
public final class Launcher implements AutoCloseable {
  private static final int CLIENT_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int STOP_TIMEOUT_MS = 40_000;
  private static final String LOOPBACK = "127.0.0.1";

  private record RunningNode(ManagedProcess process, NodeAddress address) {}

  private final Deployment deployment;
  private final LaunchOptions options;
  private final EventLoopGroup group = EventLoops.start("driver", CLIENT_THREADS);
  private final DriverContext context;
  private final ConfigurationClient operator;
  private final List<ManagedProcess> standins = new ArrayList<>();
  private final List<DeployedEndpoint> endpoints = new ArrayList<>();
  private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
  private final Map<String, RunningNode> nodes = new LinkedHashMap<>();
  private final InetSocketAddress platform;

  private Launcher(Deployment deployment, LaunchOptions options) {
    this.deployment = deployment;
    this.options = options;
    createDirectory(options.runDirectory());
    this.platform = startPlatform();
    this.context =
        new DriverContext(
            new HttpClient(group, CONNECT_TIMEOUT_MS),
            new Balancer(),
            platform,
            deployment,
            new History());
    this.operator = new ConfigurationClient(context);
  }

  /**
   * Starts a deployment and applies its resources.
   *
   * @param deployment the deployment
   * @param options options for starting its processes
   * @return the running deployment
   * @throws IllegalStateException if a process does not become ready; all processes are killed then
   */
  public static Launcher start(Deployment deployment, LaunchOptions options) {
    Launcher launcher = new Launcher(deployment, options);
    try {
      launcher.startEndpoints();
      launcher.startNodes(launcher.assignPeerPorts());
      launcher.operator.apply(launcher.endpoints);
      launcher.operator.awaitConfigurationApplied();
      return launcher;
    } catch (RuntimeException e) {
      launcher.close();
      throw e;
    }
  }

  private static void createDirectory(Path directory) {
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw new UncheckedIOException("can't create " + directory, e);
    }
  }

  private ManagedProcess startStandin(String name, List<String> arguments) {
    List<String> command = new ArrayList<>(options.standinCommand());
    command.addAll(arguments);
    ManagedProcess process = ManagedProcess.start(name, command, options.runDirectory());
    synchronized (standins) {
      standins.add(process);
    }
    return process;
  }

  private InetSocketAddress startPlatform() {
    List<String> arguments = new ArrayList<>(List.of("platform"));
    arguments.addAll(options.platformOptions());
    ManagedProcess process = startStandin("platform", arguments);
    return loopback(process.awaitReady().path("port").asInt());
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private void startEndpoints() {
    Map<Deployment.Pool, ManagedProcess> starting = new LinkedHashMap<>();
    for (Deployment.Pool pool : deployment.pools()) {
      starting.put(pool, startStandin(pool.name(), arguments(pool)));
    }
    starting.forEach(
        (pool, process) -> {
          for (JsonNode port : process.awaitReady().path("ports")) {
            String name = pool.name() + "-" + (endpointCount(pool) + 1);
            String zone = deployment.zones().get(endpointCount(pool) % deployment.zones().size());
            endpoints.add(new DeployedEndpoint(name, pool, zone, loopback(port.asInt())));
          }
        });
  }

  private int endpointCount(Deployment.Pool pool) {
    return (int) endpoints.stream().filter(endpoint -> endpoint.pool().equals(pool)).count();
  }

  private List<String> arguments(Deployment.Pool pool) {
    String count = Integer.toString(pool.endpoints());
    if (pool.type() == Deployment.PoolType.service) {
      String timeMs = Integer.toString(pool.serviceTimeMs());
      String share = Double.toString(pool.unscorableShare());
      return List.of(
          "service", "--count", count, "--service-time-ms", timeMs, "--unscorable-share", share);
    }
    List<String> arguments =
        new ArrayList<>(
            List.of("engine", "--count", count, "--threads", "2", "--model", pool.name()));
    arguments.addAll(List.of("--weight-store", LOOPBACK + ":" + platform.getPort()));
    arguments.addAll(List.of("--median-tokens", Integer.toString(pool.medianTokens())));
    arguments.addAll(List.of("--token-time-us", Integer.toString(pool.tokenTimeUs())));
    arguments.addAll(options.engineOptions());
    return arguments;
  }

  private List<String> assignPeerPorts() {
    for (String zone : deployment.zones()) {
      for (int i = 1; i <= deployment.nodesPerZone(); i++) {
        peerPorts.put(zone + "-" + i, freePort());
      }
    }
    return List.copyOf(peerPorts.keySet());
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("can't find a free port on the loopback address", e);
    }
  }

  private static String zoneOf(String nodeId) {
    return nodeId.substring(0, nodeId.lastIndexOf('-'));
  }

  /**
   * Starts nodes and waits until they are ready.
   *
   * @param nodeIds ids of the nodes, as returned by {@link #nodeIds}
   */
  public void startNodes(List<String> nodeIds) {
    Map<String, ManagedProcess> starting = new LinkedHashMap<>();
    for (String nodeId : nodeIds) {
      List<String> command = new ArrayList<>(options.nodeCommand());
      command.addAll(List.of("--settings", writeSettings(nodeId).toString()));
      starting.put(nodeId, ManagedProcess.start(nodeId, command, options.runDirectory()));
    }
    try {
      starting.forEach(this::register);
    } catch (IllegalStateException e) {
      starting.values().forEach(ManagedProcess::kill);
      throw e;
    }
    publishNodes();
  }

  private void register(String nodeId, ManagedProcess process) {
    JsonNode ready = process.awaitReady();
    NodeAddress address =
        new NodeAddress(
            nodeId,
            zoneOf(nodeId),
            loopback(ready.path("callerPort").asInt()),
            loopback(ready.path("trainerPort").asInt()),
            loopback(ready.path("operatorPort").asInt()));
    synchronized (nodes) {
      nodes.put(nodeId, new RunningNode(process, address));
    }
  }

  private void publishNodes() {
    synchronized (nodes) {
      context.balancer().setNodes(nodes.values().stream().map(RunningNode::address).toList());
    }
  }

  private Path writeSettings(String nodeId) {
    ObjectNode settings =
        Json.object()
            .put("nodeId", nodeId)
            .put("zone", zoneOf(nodeId))
            .put("region", deployment.region())
            .put("callerAddress", LOOPBACK + ":0")
            .put("trainerAddress", LOOPBACK + ":0")
            .put("operatorAddress", LOOPBACK + ":0")
            .put("peerAddress", LOOPBACK + ":" + peerPorts.get(nodeId));
    var peers = settings.putArray("peers");
    peerPorts.values().forEach(port -> peers.add(LOOPBACK + ":" + port));
    ObjectNode addresses = settings.putObject("platform");
    for (String service : List.of("table", "objects", "hosts", "weights")) {
      addresses.put(service, LOOPBACK + ":" + platform.getPort());
    }
    settings.set("limits", Json.mapper().valueToTree(options.limits()));
    Path file = options.runDirectory().resolve(nodeId + ".json");
    try {
      return Files.write(file, Json.toBytes(settings));
    } catch (IOException e) {
      throw new UncheckedIOException("can't write " + file, e);
    }
  }

  /** Returns the ids of all nodes, including those that are not running. */
  public List<String> nodeIds() {
    return List.copyOf(peerPorts.keySet());
  }

  /** Returns the endpoints. */
  public List<DeployedEndpoint> endpoints() {
    return List.copyOf(endpoints);
  }

  /** Returns the context for trainers and callers. */
  public DriverContext context() {
    return context;
  }

  /** Returns the client of the operator API. */
  public ConfigurationClient operator() {
    return operator;
  }

  /** Returns the address of the platform. */
  public InetSocketAddress platform() {
    return platform;
  }

  /**
   * Stops a node gracefully and waits until its process has exited. The node is removed from the
   * balancer first.
   *
   * @param nodeId the id of the node
   */
  public void stopNode(String nodeId) {
    RunningNode node = remove(nodeId);
    context.history().add(new StopBegan(System.currentTimeMillis(), nodeId));
    node.process().requestStop();
    int exitCode = node.process().awaitEnd(STOP_TIMEOUT_MS);
    context.history().add(new StopEnded(System.currentTimeMillis(), nodeId, exitCode));
  }

  /**
   * Kills a node.
   *
   * @param nodeId the id of the node
   */
  public void killNode(String nodeId) {
    remove(nodeId).process().kill();
  }

  private RunningNode remove(String nodeId) {
    RunningNode node;
    synchronized (nodes) {
      node = nodes.remove(nodeId);
    }
    publishNodes();
    return node;
  }

  /**
   * Suspends a node; the balancer still sends requests to it.
   *
   * @param nodeId the id of the node
   */
  public void suspendNode(String nodeId) {
    context.history().add(new CutBegan(System.currentTimeMillis(), nodeId));
    process(nodeId).suspend();
  }

  /**
   * Resumes a suspended node.
   *
   * @param nodeId the id of the node
   */
  public void resumeNode(String nodeId) {
    process(nodeId).resume();
    context.history().add(new CutEnded(System.currentTimeMillis(), nodeId));
  }

  private ManagedProcess process(String nodeId) {
    synchronized (nodes) {
      return nodes.get(nodeId).process();
    }
  }

  /** Copies the journals of all endpoints into the history. */
  public void collectJournals() {
    JournalCollector collector = new JournalCollector(context.client(), context.history());
    for (DeployedEndpoint endpoint : endpoints) {
      if (endpoint.pool().type() == Deployment.PoolType.model) {
        collector.addEngine(endpoint.name(), endpoint.address());
      } else {
        collector.addService(endpoint.name(), endpoint.address());
      }
    }
  }

  /** Kills all processes that it started. */
  @Override
  public void close() {
    List<ManagedProcess> processes = new ArrayList<>();
    synchronized (nodes) {
      nodes.values().forEach(node -> processes.add(node.process()));
      nodes.clear();
    }
    processes.forEach(ManagedProcess::resume);
    processes.forEach(ManagedProcess::kill);
    synchronized (standins) {
      standins.forEach(ManagedProcess::kill);
    }
    EventLoops.stop(group);
  }
}
