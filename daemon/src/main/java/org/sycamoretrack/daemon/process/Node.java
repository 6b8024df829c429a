package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.MemoryBudget;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.request.RequestComponents;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpHandler;

/**
 * A node: creates its services, starts them in order and stops them gracefully.
 *
 * <p>On start, the peer link begins to listen and the control services are created and started;
 * then the other ports open.
 *
 * <p>On a graceful stop, the node reports that it isn't ready and leaves the membership; after
 * {@value #LEAVE_PROPAGATION_MS} ms the other nodes send it no new work. Then the ports stop
 * accepting connections, requests in flight complete ({@link ServerDrain}), claims and lease are
 * released, and the process can exit.
 */
final class Node {
  private static final System.Logger LOG = System.getLogger(Node.class.getName());
  private static final int READY_LOG_INTERVAL_MS = 5_000;
  private static final int LEAVE_PROPAGATION_MS = 1_500;
  private static final int RELEASE_TIMEOUT_MS = 5_000;

  /** The part of the heap that responses of other services may take while they are received. */
  private static final int HEAP_PER_RESPONSE_MEMORY = 2;

  private final NodeSettings settings;
  private final EventLoopGroup loops;
  private final ControlAgent control = ControlServices.newControlAgent();
  private final NodeMetrics metrics = new NodeMetrics();
  private final PeerLink link;
  private final ControlServices controlServices;
  private final RequestComponents requests;
  private final HttpServer callerServer;
  private final HttpServer trainerServer;
  private final HttpServer operatorServer;
  private volatile boolean stopping;

  private Node(NodeSettings settings) {
    this.settings = settings;
    this.loops = EventLoops.start("traffic", settings.limits().trafficThreads());
    this.link = listenForPeers();
    MemoryBudget responseMemory =
        new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_RESPONSE_MEMORY);
    HttpClient client = new HttpClient(loops, settings.limits().connectTimeoutMs(), responseMemory);
    String incarnation = UUID.randomUUID().toString();
    this.controlServices =
        new ControlServices(
            settings,
            new ControlServices.Dependencies(incarnation, loops, control, link, client),
            metrics);
    this.requests = controlServices.requestComponents();
    control.start();
    controlServices.start();
    this.callerServer = serve(settings.callerAddress(), requests.callerHandler());
    this.trainerServer = serve(settings.trainerAddress(), requests.trainerHandler());
    this.operatorServer = serve(settings.operatorAddress(), operatorApi());
  }

  /**
   * Starts a node.
   *
   * @param settings the settings of the node
   * @return the node, with all ports open
   */
  static Node start(NodeSettings settings) {
    Node node = new Node(settings);
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("node-started").with("peer", Addresses.format(node.link.address())));
    return node;
  }

  private PeerLink listenForPeers() {
    AtomicReference<PeerLink> startedLink = new AtomicReference<>();
    PeerLink started =
        PeerLink.builder()
            .group(loops)
            .address(settings.peerAddress())
            .identity(() -> identity(startedLink.get()))
            .key(readSecret(settings.peerKeyFile()))
            .start();
    startedLink.set(started);
    return started;
  }

  private PeerIdentity identity(PeerLink startedLink) {
    InetSocketAddress address =
        startedLink == null ? settings.peerAddress() : startedLink.address();
    long epoch = controlServices == null ? 0 : controlServices.members().self().epoch();
    return new PeerIdentity(
        settings.nodeId(), settings.zone(), settings.region(), epoch, Addresses.format(address));
  }

  private static byte[] readSecret(Path file) {
    if (file == null) {
      return null;
    }
    try {
      return Files.readString(file).strip().getBytes(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read secret file " + file, e);
    }
  }

  private HttpServer serve(InetSocketAddress address, HttpHandler handler) {
    NodeLimits limits = settings.limits();
    return HttpServer.builder()
        .group(loops)
        .address(address)
        .handler(handler)
        .maxBodyBytes(limits.maxBodyBytes())
        .maxHeaderBytes(limits.maxHeaderBytes())
        .requestTimeoutMs(limits.requestTimeoutMs())
        .start();
  }

  private OperatorApi operatorApi() {
    byte[] token = readSecret(settings.operatorTokenFile());
    OperatorApi api =
        OperatorApi.builder()
            .configuration(controlServices.configurationService())
            .metrics(metrics::scrape)
            .ready(this::isReady)
            .token(token == null ? null : new String(token, StandardCharsets.UTF_8))
            .build();
    api.register(new CachedStateSource("control", controlServices::lastControlDump));
    api.register(new CachedStateSource("requests", controlServices::lastRequestsDump));
    return api;
  }

  /** A state dump that the control thread refreshes periodically. */
  private record CachedStateSource(String name, Supplier<JsonNode> latest) implements StateSource {
    @Override
    public JsonNode state() {
      return latest.get();
    }
  }

  /** Returns whether the node has loaded the configuration and isn't stopping. */
  private boolean isReady() {
    return !stopping && controlServices.configurationService().isLoaded();
  }

  /** Waits until the node is ready; returns false if it is stopped first. */
  boolean awaitReady() {
    while (!Waiting.until(READY_LOG_INTERVAL_MS, () -> stopping || isReady())) {
      LOG.log(System.Logger.Level.WARNING, LogEvent.of("configuration-awaited"));
    }
    return !stopping;
  }

  /** Returns the node id and the ports that the node listens on. */
  ObjectNode addresses() {
    return Json.object()
        .put("nodeId", settings.nodeId())
        .put("callerPort", callerServer.address().getPort())
        .put("trainerPort", trainerServer.address().getPort())
        .put("operatorPort", operatorServer.address().getPort())
        .put("peerPort", link.address().getPort());
  }

  /** Stops gracefully; waits for requests in flight up to the stop timeout. */
  void stop() {
    LOG.log(System.Logger.Level.INFO, LogEvent.of("stop-began"));
    stopping = true;
    ServerDrain drain = new ServerDrain(callerServer, trainerServer);
    drain.begin();
    controlServices.leave();
    Waiting.until(LEAVE_PROPAGATION_MS, () -> false);
    controlServices.flushJournal();
    requests.stopAccepting();
    drain.stopAccepting();
    requests.closeSteps();
    boolean allEnded =
        Waiting.until(
            settings.limits().stopTimeoutMs(),
            () -> drain.closeIdle() && requests.receivedAttemptCount() == 0);
    CompletableFuture<Void> released =
        controlServices.releaseClaimsAndLease().toCompletableFuture();
    Waiting.until(RELEASE_TIMEOUT_MS, released::isDone);
    LOG.log(System.Logger.Level.INFO, LogEvent.of("stopped").with("allEnded", allEnded));
    close();
  }

  private void close() {
    callerServer.close();
    trainerServer.close();
    operatorServer.close();
    link.close();
    control.close();
    EventLoops.stop(loops);
  }
}
