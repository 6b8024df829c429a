package org.sycamoretrack.daemon.process.storebacked;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.PathSwitch;
import org.sycamoretrack.core.process.RelayPeers;
import org.sycamoretrack.core.process.ZoneIsolation;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.MeteredEndpointClient;
import org.sycamoretrack.daemon.client.MeteredStore;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.StoreTimeListener;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.Addresses;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.process.TrueTime;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.batch.BatchComponents;
import org.sycamoretrack.daemon.request.batch.BatchService;
import org.sycamoretrack.daemon.request.batch.ExpiredBatchCleaner;
import org.sycamoretrack.daemon.request.forward.Forwarder;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;
import org.sycamoretrack.daemon.version.weights.LoadCommandService;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.StrayResponse;

/**
 * A node that keeps its state in the platform's store: it forwards plain requests, stores and runs
 * batches, and updates endpoints to new weights.
 *
 * <p>It has two threads. The control loop watches the store's tables, writes the heartbeat and
 * commands endpoints to load weights. The traffic loop serves connections of callers and endpoints
 * and runs batches. The control loop publishes its state as immutable views.
 */
public final class StoreBackedNode implements NodeServices {
  /**
   * An unknown route is reported as not existing only while the manifest is newer than this; with
   * an older manifest the route may have been added since.
   */
  private static final long MAX_CURRENT_MANIFEST_AGE_MS = 1_400;

  /** Interval at which a node that can't reach the store retries the direct connection. */
  private static final long PROBE_INTERVAL_MS = 700;

  private static final long TICK_MS = 200;

  /** A sweep makes one store call per retained batch, and batches are retained for some minutes. */
  private static final long SWEEP_INTERVAL_MS = 120_000;

  /** Number of nodes that compete for the order lease, enough to survive the loss of one zone. */
  private static final int ORDER_LEASE_CANDIDATES = 3;

  /** One in each zone of a deployment of three zones. */
  private static final int MAX_RELAY_PEERS = 3;

  /** Safety margin within the time after which a cancelled batch must start no more items. */
  private static final long CANCEL_MARGIN_MS = 600;

  /** Several times the duration of the first store calls after the start. */
  private static final long MAX_START_WAIT_MS = 600;

  private static final int MAX_START_REQUESTS = 512;
  private static final double MS_PER_SECOND = 1_000.0;
  private static final System.Logger LOG = System.getLogger(StoreBackedNode.class.getName());

  private final StoreBackedNodeSettings settings;
  private final String incarnation = UUID.randomUUID().toString();
  private final EventLoopGroup controlGroup = EventLoops.start("control", 1);
  private final EventLoopGroup trafficGroup = EventLoops.start("traffic", 1);
  private final EventLoop controlLoop = controlGroup.next();
  private final EventLoop trafficLoop = trafficGroup.next();
  private final PathSwitch path = new PathSwitch(PROBE_INTERVAL_MS);
  private final PeerLink link;
  private final RelayPeers relayPeers;
  private final StoreRelay relay;
  private final DeploymentWatch watch;
  private final NodeRegistry registry;
  private final OrphanedBatchDetector orphanDetector;
  private final LoadCommandService loadCommandService;
  private final CapacityComponents capacity;
  private final TrueTime time = new TrueTime();
  private final Optional<ControlDuties> duties;
  private final BatchComponents components;
  private final PoisonGuard poison;
  private final SharedEndpointReports endpointReports;
  private final ExpiredBatchCleaner batchCleaner;
  private final HttpServer callerServer;
  private final HttpServer readinessServer;
  private final HttpServer inspectionServer;
  private final StoreBackedNodeMetrics metrics = new StoreBackedNodeMetrics();
  private final ZoneIsolation isolation = new ZoneIsolation();
  private final StartupQueue deploymentQueue =
      new StartupQueue(trafficLoop, this::isDeploymentRead, MAX_START_WAIT_MS, MAX_START_REQUESTS);
  private final StartupQueue registrationQueue =
      new StartupQueue(trafficLoop, this::isRegistered, MAX_START_WAIT_MS, MAX_START_REQUESTS);
  private volatile boolean isolated;
  private final OpenRequests openRequests = new OpenRequests();
  private volatile boolean stopping;
  private volatile boolean stopped;

  private StoreBackedNode(StoreBackedNodeSettings settings, PlatformAdapter adapter) {
    this.settings = settings;
    PartitionedStore directStore =
        new MeteredStore(adapter.store(controlGroup, timeListener()), metrics);
    this.link = startLink(settings);
    this.relayPeers = new RelayPeers(settings.zone(), MAX_RELAY_PEERS);
    this.relay = new StoreRelay(link, directStore, path, relayPeers, controlLoop);
    PartitionedStore controlStore = new RelayedStore(directStore, relay, path, controlLoop);
    this.watch =
        new DeploymentWatch(controlStore, adapter.codec(), controlLoop, this::onDeploymentChanged);
    NodeRecord self =
        new NodeRecord(
            settings.nodeId(), incarnation, settings.zone(), settings.peerAddress(), 0, false);
    this.registry = new NodeRegistry(controlStore, controlLoop, self, this::onNodesChanged);
    this.poison = new PoisonGuard(settings.nodeId() + '/' + incarnation);
    this.endpointReports =
        new SharedEndpointReports(
            controlStore, controlLoop, settings.nodeId(), poison, watch, metrics);
    poison.onCrashRecord(endpointReports::onCrash);
    watch.onReports(endpointReports::onReports);
    this.components = createComponents(adapter);
    this.orphanDetector =
        new OrphanedBatchDetector(
            settings.nodeId(),
            incarnation,
            registry.nodeTable(),
            owner -> trafficLoop.execute(() -> components.batches().takeOver(owner)));
    this.duties = createDuties(adapter, controlStore, self);
    this.capacity = createCapacity(controlStore, self);
    this.loadCommandService =
        new LoadCommandService(
            controlStore,
            endpointClient(adapter, controlGroup),
            watch::view,
            controlLoop,
            self,
            settings.loadLimit(),
            capacity.shareAssigner());
    this.batchCleaner =
        new ExpiredBatchCleaner(
            controlStore,
            settings.resultsPromisedMs(),
            batchId -> watch.view().owners().byBatchId().containsKey(batchId),
            System::currentTimeMillis);
    this.readinessServer =
        serve(trafficGroup, settings.readyAddress(), adapter.readinessHandler(this));
    this.callerServer =
        HttpServer.builder()
            .group(trafficGroup)
            .address(settings.callerAddress())
            .maxBodyBytes(settings.maxBodyBytes())
            .handler(adapter.callerHandler(this))
            .start();
    InspectionApi inspectionApi = new InspectionApi(metrics::scrape, this::state);
    this.inspectionServer = serve(controlGroup, settings.metricsAddress(), inspectionApi);
    registerGauges();
  }

  /**
   * Starts a node.
   *
   * @param settings the settings of the node
   * @param adapter the adapter of the platform
   */
  public static StoreBackedNode start(StoreBackedNodeSettings settings, PlatformAdapter adapter) {
    StoreBackedNode node = new StoreBackedNode(settings, adapter);
    node.watch.start();
    node.registry.start();
    node.loadCommandService.start();
    node.capacity.start();
    node.duties.ifPresent(node::startDuties);
    node.scheduleRepeatedly("node", node::tick, TICK_MS);
    node.scheduleRepeatedly("sweep", node::sweep, SWEEP_INTERVAL_MS);
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("node-started")
            .with("incarnation", node.incarnation)
            .with("callerAddress", settings.callerAddress()));
    return node;
  }

  private void startDuties(ControlDuties started) {
    trafficLoop.execute(() -> components.forwarder().countUsage(started.meter()));
    started.start();
  }

  private void scheduleRepeatedly(String name, Runnable task, long intervalMs) {
    controlLoop.scheduleAtFixedRate(
        Failures.periodicTask(name, task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  private EndpointClient endpointClient(PlatformAdapter adapter, EventLoopGroup group) {
    EndpointClient client =
        adapter.endpoints(group, endpointReports::onLeaving, this::onStrayResponse);
    return new MeteredEndpointClient(client, metrics);
  }

  private void onStrayResponse(StrayResponse response) {
    metrics.onStrayResponse(response.kind());
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("stray-response")
            .with("address", response.address())
            .with("kind", response.kind())
            .with("request", response.requestId())
            .with("target", response.target())
            .with("responseId", response.responseId())
            .with("status", response.status()));
  }

  private BatchComponents createComponents(PlatformAdapter adapter) {
    PartitionedStore trafficStore =
        new RelayedStore(
            new MeteredStore(adapter.store(trafficGroup, timeListener()), metrics),
            relay,
            path,
            trafficLoop);
    return BatchComponents.builder()
        .store(trafficStore)
        .endpoints(endpointClient(adapter, trafficGroup))
        .metrics(metrics)
        .views(watch::view)
        .loop(trafficLoop)
        .nodeId(settings.nodeId())
        .incarnation(incarnation)
        .zone(settings.zone())
        .poison(poison)
        .zoneTraffic(settings.zoneTraffic())
        .build();
  }

  private CapacityComponents createCapacity(PartitionedStore controlStore, NodeRecord self) {
    return new CapacityComponents(
        settings,
        self,
        controlStore,
        duties,
        watch,
        registry,
        controlLoop,
        () ->
            CompletableFuture.supplyAsync(() -> components.batches().measureDemand(), trafficLoop),
        metrics);
  }

  private StoreTimeListener timeListener() {
    return settings.controlService().isPresent() ? time : StoreTimeListener.NONE;
  }

  private Optional<ControlDuties> createDuties(
      PlatformAdapter adapter, PartitionedStore controlStore, NodeRecord self) {
    return settings
        .controlService()
        .flatMap(
            service ->
                adapter
                    .duties(controlGroup)
                    .map(
                        client ->
                            new ControlDuties(
                                service,
                                client,
                                controlStore,
                                registry,
                                self,
                                time,
                                controlLoop,
                                trafficLoop,
                                metrics,
                                () -> loadCommandService.epoch() > 0)));
  }

  private static HttpServer serve(
      EventLoopGroup group, InetSocketAddress address, HttpHandler handler) {
    return HttpServer.builder().group(group).address(address).handler(handler).start();
  }

  private PeerLink startLink(StoreBackedNodeSettings nodeSettings) {
    PeerIdentity identity =
        new PeerIdentity(
            nodeSettings.nodeId(), nodeSettings.zone(), "", 0, nodeSettings.peerAddress());
    return PeerLink.builder()
        .group(controlGroup)
        .address(Addresses.parse(nodeSettings.peerAddress()))
        .identity(() -> identity)
        .start();
  }

  private void onNodesChanged() {
    watch.setNodeCount(registry.liveNodes().size(), settings.drainMs());
    List<RelayPeers.Peer> peers =
        registry.liveNodes().stream()
            .filter(node -> !node.nodeId().equals(settings.nodeId()) && !node.leaving())
            .map(node -> new RelayPeers.Peer(node.nodeId(), node.zone(), node.peerAddress()))
            .toList();
    relayPeers.update(RelayPeers.preferenceOrder(settings.nodeId(), peers));
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

  private void updateIsolation() {
    boolean changed =
        isolation.update(
            path.isDirect(),
            relayPeers.hasOtherZones(),
            relay.isOtherZoneReachable(),
            MonotonicClock.nowMs());
    isolated = isolation.isIsolated();
    if (changed) {
      LOG.log(
          System.Logger.Level.WARNING, LogEvent.of("zone-isolation").with("isolated", isolated));
    }
  }

  private void tick() {
    updateIsolation();
    endpointReports.tick(MonotonicClock.nowMs());
    if (!watch.isComplete()) {
      return;
    }
    DeploymentView view = watch.view();
    trafficLoop.execute(() -> updateBatchOwners(view));
    boolean leaseCandidate =
        registry.nodeTable().takeoverRank(settings.nodeId(), "orders") < ORDER_LEASE_CANDIDATES;
    boolean available = !stopping && registry.isRegistered();
    loadCommandService.setCandidate(available && leaseCandidate);
    duties.ifPresent(held -> held.setCandidate(available, registry.nodeTable(), settings.nodeId()));
    if (!stopping && registry.isFresh()) {
      orphanDetector.check(view.owners().byBatchId(), registry.readSentAtMs());
    }
  }

  /** Returns the address for callers, with the port that was bound. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /** Returns the epoch of the order lease, 0 if this node doesn't hold it. */
  public long orderLeaseEpoch() {
    return loadCommandService.epoch();
  }

  /** Returns the address for operators, with the port that was bound. */
  public InetSocketAddress metricsAddress() {
    return inspectionServer.address();
  }

  private void registerGauges() {
    metrics.gauge(
        "manifest_version",
        "Version of the current route manifest, 0 if none is known",
        () -> watch.view().manifest().map(Manifest::version).orElse(0L));
    metrics.gauge(
        "manifest_age_seconds",
        "Time since the route manifest was last known to be the latest",
        () -> watch.manifestAgeMs() / MS_PER_SECOND);
    metrics.gauge(
        "endpoints_in_service",
        "Endpoints that may receive new work",
        () -> watch.view().fleet().all().stream().filter(endpoint -> !endpoint.draining()).count());
    metrics.gauge(
        "endpoints_draining",
        "Endpoints that receive no new work",
        () -> watch.view().fleet().all().stream().filter(Endpoint::draining).count());
    metrics.gauge(
        "requests_quarantined",
        "Different requests that are refused because they crashed endpoints",
        () -> poison.quarantined().size());
    metrics.gauge(
        "deployment_batches",
        "Batches that are owned by some node",
        () -> watch.view().owners().byBatchId().size());
    metrics.gauge(
        "order_lease_epoch",
        "Epoch of the order lease, 0 if this node does not hold it",
        loadCommandService::epoch);
    metrics.gauge(
        "store_path_straight",
        "1 if the node reaches the store directly, 0 if peers relay its calls",
        () -> path.isDirect() ? 1 : 0);
  }

  /** Returns this node's view of the deployment for the state dump. Called on the control loop. */
  private CompletionStage<JsonNode> state() {
    ObjectNode json =
        Json.object()
            .put("node", settings.nodeId())
            .put("zone", settings.zone())
            .put("incarnation", incarnation)
            .put("ready", isReady())
            .put("stopping", stopping)
            .put("storePath", path.isDirect() ? "straight" : "over peers");
    json.putObject("orderLease")
        .put("held", loadCommandService.epoch() > 0)
        .put("epoch", loadCommandService.epoch());
    capacity.dump().ifPresent(dump -> json.set("capacity", dump));
    duties.ifPresent(held -> held.describe(json));
    json.set("nodes", NodeStateJson.nodes(registry.liveNodes()));
    json.set("deployment", NodeStateJson.deployment(watch));
    return CompletableFuture.supplyAsync(() -> components.batches().dump(), trafficLoop)
        .thenApply(batches -> json.set("batches", batches));
  }

  /**
   * Removes old batches. Only the holder of the order lease does so, to keep several nodes from
   * scanning for them.
   */
  private void sweep() {
    if (loadCommandService.epoch() > 0 && !stopping) {
      batchCleaner.sweep();
    }
  }

  @Override
  public Optional<Manifest> manifest() {
    return watch.view().manifest();
  }

  @Override
  public boolean isManifestCurrent() {
    return watch.manifestAgeMs() < MAX_CURRENT_MANIFEST_AGE_MS;
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
  public StoreBackedNodeMetrics metrics() {
    return metrics;
  }

  @Override
  public boolean isReady() {
    return !stopping && !isolated && watch.isComplete() && registry.isRegistered();
  }

  @Override
  public boolean isRegistered() {
    return registry.isRegistered();
  }

  private boolean isDeploymentRead() {
    return stopping || watch.isComplete();
  }

  @Override
  public void whenDeploymentRead(Runnable action) {
    deploymentQueue.handle(action);
  }

  @Override
  public void whenRegistered(Runnable action) {
    registrationQueue.handle(action);
  }

  @Override
  public boolean isStopping() {
    return stopping;
  }

  @Override
  public boolean isStopped() {
    return stopped;
  }

  @Override
  public OpenRequests openRequests() {
    return openRequests;
  }

  /**
   * Stops gracefully: hands over batches and the order lease to other nodes, closes connections as
   * {@link PlannedStop} does, and lets requests in flight complete within the grace period. New
   * requests are served as long as they can be expected to end within it. At its end, each request
   * without a response gets one that says whether it may have run.
   */
  public void stop() {
    stopping = true;
    PlannedStop stop = new PlannedStop(callerServer, settings.graceMs());
    trafficLoop.execute(() -> components.forwarder().stopBy(stop.endMs()));
    LOG.log(System.Logger.Level.INFO, LogEvent.of("node-stopping"));
    CompletableFuture<Void> handedOver = new CompletableFuture<>();
    trafficLoop.execute(
        () ->
            components
                .batches()
                .handOver()
                .thenCompose(done -> announceLeaving())
                .whenComplete(
                    Failures.loggingExceptions((done, failure) -> handedOver.complete(null))));
    controlLoop.execute(loadCommandService::release);
    controlLoop.execute(capacity::stop);
    controlLoop.execute(() -> duties.ifPresent(ControlDuties::release));
    stop.endConnections(this::endRequests);
    CompletionStage<Void> usageWritten =
        duties.map(ControlDuties::flush).orElse(CompletableFuture.completedFuture(null));
    stop.await(handedOver::isDone);
    stop.awaitLastWrites(usageWritten.toCompletableFuture()::isDone);
    registry.stop();
    watch.stop();
    callerServer.close();
    readinessServer.close();
    inspectionServer.close();
    link.close();
    LOG.log(System.Logger.Level.INFO, LogEvent.of("node-stopped"));
  }

  /** Answers the requests that are still open, and lets those that arrive later be refused. */
  private void endRequests() {
    stopped = true;
    trafficLoop.execute(openRequests::endAll);
  }

  private CompletableFuture<Void> announceLeaving() {
    CompletableFuture<Void> announced = new CompletableFuture<>();
    controlLoop.execute(
        () ->
            registry
                .leave()
                .whenComplete(
                    Failures.loggingExceptions((done, failure) -> announced.complete(null))));
    return announced;
  }
}
