package org.sycamoretrack.daemon.process.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.PathSwitch;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.MeasuredEndpoints;
import org.sycamoretrack.daemon.farend.MeasuredStore;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.process.Addresses;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.RolloutMetrics;
import org.sycamoretrack.daemon.request.batch.BatchComponents;
import org.sycamoretrack.daemon.request.batch.BatchJanitor;
import org.sycamoretrack.daemon.request.batch.BatchService;
import org.sycamoretrack.daemon.request.forward.Forwarder;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;
import org.sycamoretrack.daemon.version.weights.OrderHolder;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpHandler;

/**
 * A node whose state is kept in the platform's store: it forwards plain requests, keeps and runs
 * batches, and moves endpoints to new weights.
 *
 * <p>Two threads: the control loop follows the store's tables, writes the heartbeat and gives
 * orders; the traffic loop carries callers' and endpoints' connections and runs batches. The
 * control loop publishes what it knows as immutable views.
 */
public final class RolloutNode implements NodeServices {
  /** A route that isn't known is refused for good only while the manifest is this young. */
  private static final long MANIFEST_CURRENT_MS = 1_400;

  /** How often a node that lost the store tries to reach it straight. */
  private static final long PROBE_INTERVAL_MS = 700;

  private static final long TICK_MS = 200;

  /** A sweep costs a call for each batch that is kept; batches are kept for some minutes. */
  private static final long SWEEP_INTERVAL_MS = 120_000;

  /** Nodes that try for the order lease: enough for one zone to be lost. */
  private static final int ORDER_LEASE_CANDIDATES = 3;

  /** Callers' connections arrive for some seconds after readiness has ended. */
  private static final long MIN_STOP_MS = 3_500;

  /** Left of the grace period for what must be done after the last answer. */
  private static final long STOP_MARGIN_MS = 700;

  /** Left of the time within which an ended batch must start nothing more. */
  private static final long CANCEL_MARGIN_MS = 600;

  private static final long STOP_POLL_INTERVAL_MS = 50;
  private static final double MS_PER_SECOND = 1_000.0;
  private static final System.Logger LOG = System.getLogger(RolloutNode.class.getName());

  private final RolloutSettings settings;
  private final String incarnation = UUID.randomUUID().toString();
  private final EventLoopGroup controlGroup = EventLoops.start("control", 1);
  private final EventLoopGroup trafficGroup = EventLoops.start("traffic", 1);
  private final EventLoop controlLoop = controlGroup.next();
  private final EventLoop trafficLoop = trafficGroup.next();
  private final PathSwitch path = new PathSwitch(PROBE_INTERVAL_MS);
  private final PeerLink link;
  private final StoreRelay relay;
  private final DeploymentWatch watch;
  private final NodeRegistry registry;
  private final OrphanedBatchDetector orphanDetector;
  private final OrderHolder loadOrders;
  private final BatchComponents components;
  private final BatchJanitor janitor;
  private final HttpServer callerServer;
  private final HttpServer readinessServer;
  private final HttpServer inspectionServer;
  private final RolloutMetrics metrics = new RolloutMetrics();
  private volatile boolean stopping;

  private RolloutNode(RolloutSettings settings, PlatformAdapter adapter) {
    this.settings = settings;
    PartitionedStore straight = new MeasuredStore(adapter.store(controlGroup), metrics);
    this.link = startLink(settings);
    this.relay = new StoreRelay(link, straight, path, controlLoop);
    PartitionedStore controlStore = new RelayedStore(straight, relay, path, controlLoop);
    PartitionedStore trafficStore =
        new RelayedStore(
            new MeasuredStore(adapter.store(trafficGroup), metrics), relay, path, trafficLoop);
    this.watch =
        new DeploymentWatch(controlStore, adapter.codec(), controlLoop, this::onDeploymentChanged);
    NodeRecord self =
        new NodeRecord(
            settings.nodeId(), incarnation, settings.zone(), settings.peerAddress(), 0, false);
    this.registry = new NodeRegistry(controlStore, controlLoop, self, this::onNodesChanged);
    this.components =
        BatchComponents.builder()
            .store(trafficStore)
            .endpoints(new MeasuredEndpoints(adapter.endpoints(trafficGroup), metrics))
            .metrics(metrics)
            .views(watch::view)
            .loop(trafficLoop)
            .nodeId(settings.nodeId())
            .incarnation(incarnation)
            .zone(settings.zone())
            .build();
    this.orphanDetector =
        new OrphanedBatchDetector(
            settings.nodeId(),
            incarnation,
            registry.nodeTable(),
            owner -> trafficLoop.execute(() -> components.batches().takeOver(owner)));
    this.loadOrders =
        new OrderHolder(
            controlStore,
            new MeasuredEndpoints(adapter.endpoints(controlGroup), metrics),
            watch::view,
            controlLoop,
            self,
            settings.loadLimit());
    this.janitor =
        new BatchJanitor(
            controlStore,
            settings.resultsPromisedMs(),
            batchId -> watch.view().owners().containsKey(batchId),
            System::currentTimeMillis);
    this.readinessServer = serve(trafficGroup, settings.readyAddress(), adapter.readiness(this));
    this.callerServer =
        HttpServer.builder()
            .group(trafficGroup)
            .address(settings.callerAddress())
            .maxBodyBytes(settings.maxBodyBytes())
            .handler(adapter.callers(this))
            .start();
    InspectionApi inspectionApi = new InspectionApi(metrics::scrape, this::state);
    this.inspectionServer = serve(controlGroup, settings.metricsAddress(), inspectionApi);
    registerGauges();
  }

  /**
   * Starts a node.
   *
   * @param settings its settings
   * @param adapter its platform
   */
  public static RolloutNode start(RolloutSettings settings, PlatformAdapter adapter) {
    RolloutNode node = new RolloutNode(settings, adapter);
    node.watch.start();
    node.registry.start();
    node.loadOrders.start();
    node.scheduleRepeatedly("node", node::tick, TICK_MS);
    node.scheduleRepeatedly("sweep", node::sweep, SWEEP_INTERVAL_MS);
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("node-started")
            .with("incarnation", node.incarnation)
            .with("callerAddress", settings.callerAddress()));
    return node;
  }

  private void scheduleRepeatedly(String name, Runnable task, long intervalMs) {
    controlLoop.scheduleAtFixedRate(
        Failures.repeated(name, task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  private static HttpServer serve(
      EventLoopGroup group, InetSocketAddress address, HttpHandler handler) {
    return HttpServer.builder().group(group).address(address).handler(handler).start();
  }

  private PeerLink startLink(RolloutSettings node) {
    PeerIdentity identity = new PeerIdentity(node.nodeId(), node.zone(), "", 0, node.peerAddress());
    return PeerLink.builder()
        .group(controlGroup)
        .address(Addresses.parse(node.peerAddress()))
        .identity(() -> identity)
        .start();
  }

  /** Nodes of the own zone carry calls of the store first, since a cut zone keeps them together. */
  private void onNodesChanged() {
    watch.setNodeCount(registry.liveNodes().size());
    relay.setPeers(
        registry.liveNodes().stream()
            .filter(node -> !node.nodeId().equals(settings.nodeId()) && !node.leaving())
            .sorted(Comparator.comparing(node -> !node.zone().equals(settings.zone())))
            .map(NodeRecord::peerAddress)
            .toList());
  }

  private void onDeploymentChanged() {
    DeploymentView view = watch.view();
    if (watch.isComplete()) {
      trafficLoop.execute(() -> updateBatchOwners(view));
    }
  }

  private void updateBatchOwners(DeploymentView view) {
    long maxAgeMs = settings.cancelMs() - CANCEL_MARGIN_MS;
    components.batches().onOwners(view.owners(), watch.ownersAgeMs(), maxAgeMs);
  }

  private void tick() {
    if (!watch.isComplete()) {
      return;
    }
    DeploymentView view = watch.view();
    trafficLoop.execute(() -> updateBatchOwners(view));
    boolean first =
        registry.nodeTable().takeoverRank(settings.nodeId(), "orders") < ORDER_LEASE_CANDIDATES;
    loadOrders.setCandidate(!stopping && registry.isRegistered() && first);
    if (!stopping && registry.isFresh()) {
      orphanDetector.check(view.owners(), registry.readSentAtMs());
    }
  }

  /** Returns where callers connect, with the real port. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /** Returns the epoch of the order lease, 0 when this node doesn't hold it. */
  public long orderEpoch() {
    return loadOrders.epoch();
  }

  /** Returns where operators connect, with the real port. */
  public InetSocketAddress metricsAddress() {
    return inspectionServer.address();
  }

  private void registerGauges() {
    metrics.gauge(
        "manifest_version",
        "Version of the routes in force, 0 when none is known",
        () -> watch.view().manifest().map(Manifest::version).orElse(0L));
    metrics.gauge(
        "manifest_age_seconds",
        "Time since the routes were last known to be the newest",
        () -> watch.manifestAgeMs() / MS_PER_SECOND);
    metrics.gauge(
        "endpoints_in_service",
        "Endpoints that may get new work",
        () -> watch.view().fleet().all().stream().filter(each -> !each.draining()).count());
    metrics.gauge(
        "endpoints_draining",
        "Endpoints that get no new work",
        () -> watch.view().fleet().all().stream().filter(Endpoint::draining).count());
    metrics.gauge(
        "deployment_batches", "Batches that some node runs", () -> watch.view().owners().size());
    metrics.gauge(
        "order_lease_epoch", "Epoch of the order lease, 0 when not held here", loadOrders::epoch);
    metrics.gauge(
        "store_path_straight",
        "1 when the node reaches the store itself, 0 when peers carry its calls",
        () -> path.isStraight() ? 1 : 0);
  }

  /** Returns what this node believes. Called on the control loop. */
  private CompletionStage<JsonNode> state() {
    ObjectNode json =
        Json.object()
            .put("node", settings.nodeId())
            .put("zone", settings.zone())
            .put("incarnation", incarnation)
            .put("ready", isReady())
            .put("stopping", stopping)
            .put("storePath", path.isStraight() ? "straight" : "over peers");
    json.putObject("orderLease")
        .put("held", loadOrders.epoch() > 0)
        .put("epoch", loadOrders.epoch());
    json.set("nodes", NodeStateJson.nodes(registry.liveNodes()));
    json.set("deployment", NodeStateJson.deployment(watch));
    return CompletableFuture.supplyAsync(() -> components.batches().dump(), trafficLoop)
        .thenApply(batches -> json.set("batches", batches));
  }

  /** Old batches are removed by the holder of the order lease, so that one node looks for them. */
  private void sweep() {
    if (loadOrders.epoch() > 0 && !stopping) {
      janitor.sweep();
    }
  }

  @Override
  public Optional<Manifest> manifest() {
    return watch.view().manifest();
  }

  @Override
  public boolean isManifestCurrent() {
    return watch.manifestAgeMs() < MANIFEST_CURRENT_MS;
  }

  @Override
  public Forwarder forwarder() {
    return components.forwarder();
  }

  @Override
  public BatchService batches() {
    return components.batches();
  }

  @Override
  public RolloutMetrics metrics() {
    return metrics;
  }

  @Override
  public boolean isReady() {
    return !stopping && watch.isComplete() && registry.isRegistered();
  }

  @Override
  public boolean isRegistered() {
    return registry.isRegistered();
  }

  @Override
  public boolean isStopping() {
    return stopping;
  }

  /**
   * Stops: takes no new connections, hands batches and the order lease to other nodes, and lets
   * what is in flight end within the grace period.
   */
  public void stop() {
    long startedMs = MonotonicClock.nowMs();
    stopping = true;
    LOG.log(System.Logger.Level.INFO, LogEvent.of("node-stopping"));
    CompletableFuture<Void> handedOver = new CompletableFuture<>();
    trafficLoop.execute(
        () ->
            components
                .batches()
                .handOver()
                .thenCompose(done -> announceLeaving())
                .whenComplete(Failures.logged((done, failure) -> handedOver.complete(null))));
    controlLoop.execute(loadOrders::release);
    long endMs = startedMs + settings.graceMs() - STOP_MARGIN_MS;
    await(handedOver, endMs - MonotonicClock.nowMs());
    while (MonotonicClock.nowMs() < endMs
        && (MonotonicClock.nowMs() < startedMs + MIN_STOP_MS || callerServer.inFlightCount() > 0)) {
      await(new CompletableFuture<>(), STOP_POLL_INTERVAL_MS);
    }
    registry.stop();
    watch.stop();
    callerServer.close();
    readinessServer.close();
    inspectionServer.close();
    link.close();
    LOG.log(System.Logger.Level.INFO, LogEvent.of("node-stopped"));
  }

  private CompletableFuture<Void> announceLeaving() {
    CompletableFuture<Void> left = new CompletableFuture<>();
    controlLoop.execute(
        () ->
            registry.leave().whenComplete(Failures.logged((done, failure) -> left.complete(null))));
    return left;
  }

  private static void await(CompletableFuture<Void> future, long timeoutMs) {
    try {
      future.get(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      // The time is up, or the pause is over.
    } catch (ExecutionException e) {
      LOG.log(System.Logger.Level.WARNING, "hand-over-failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
