package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.connection.EndpointLoadCodec;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.daemon.process.NodeMetrics;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpHandler;

/**
 * Creates and connects the components that handle requests, from the caller and trainer ports to
 * the endpoints.
 *
 * <p>{@link #refresh} is called on the control thread several times a second; it publishes the
 * {@link RoutingTable} that the traffic threads read.
 */
public final class RequestComponents {
  private final Builder builder;
  private final PoisonGuard poison;
  private final EndpointDirectory endpoints;
  private final EndpointHealth health;
  private final PeerLoads peerLoads = new PeerLoads();
  private final RoutingTableBuilder routingTableBuilder;
  private final PeerAttempts peerAttempts;
  private final StepRegistry steps;
  private final TrainerApi trainerApi;
  private final CallerApi callerApi;
  private volatile RoutingTable routes = RoutingTable.EMPTY;
  private volatile boolean accepting = true;

  private RequestComponents(Builder builder) {
    this.builder = builder;
    this.poison = new PoisonGuard(builder.nodeId);
    this.endpoints =
        new EndpointDirectory(
            builder.loops, builder.engines, poison, builder.limits, builder.metrics);
    this.health = new EndpointHealth(builder.engines);
    this.routingTableBuilder =
        new RoutingTableBuilder(builder.nodeId, endpoints, health, peerLoads, builder.outOfService);
    this.peerAttempts = new PeerAttempts(builder.link, endpoints, () -> accepting);
    PeerCalls peerCalls = new PeerCalls(builder.link, builder.loops);
    Dispatcher dispatcher =
        new Dispatcher(
            builder.zone,
            () -> routes,
            new EndpointOwnerGateway(
                builder.nodeId, builder.link::isConnectedBothWays, peerAttempts, endpoints));
    ServiceCaller services = new ServiceCaller(builder.zone, builder.client, () -> routes);
    this.steps = stepRegistry(dispatcher, services);
    this.trainerApi = new TrainerApi(builder.nodeId, steps, peerCalls, this::ownerInZone);
    this.callerApi =
        new CallerApi(
            builder.nodeId,
            new CompletionApi(dispatcher, this::isModelPool, builder.limits, builder.metrics),
            new ServiceApi(services, builder.configuration, builder.limits),
            builder.claims,
            peerCalls,
            builder.metrics);
    shareCrashRecords();
  }

  public static Builder builder() {
    return new Builder();
  }

  private StepRegistry stepRegistry(Dispatcher dispatcher, ServiceCaller services) {
    StepServices shared =
        new StepServices(
            dispatcher,
            new HttpScorer(services, builder.configuration),
            builder.sampleSink,
            () -> routes,
            this::trackSettings,
            new SampleMemoryBudget(builder.limits.maxUndeliveredBytes()),
            builder.metrics);
    return new StepRegistry(shared, builder.loops, builder.limits.maxOpenSteps(), builder.restore);
  }

  private void shareCrashRecords() {
    poison.onCrashRecord(
        crashRecord -> {
          PoisonMessage message =
              new PoisonMessage(
                  crashRecord.fingerprint(),
                  crashRecord.endpoint(),
                  crashRecord.observer(),
                  crashRecord.deathId());
          builder.link.connectedPeers().forEach(peer -> builder.link.send(peer, message));
        });
    builder.link.onMessage(
        PoisonMessage.TYPE, PoisonMessage::read, (fromNodeId, message) -> poison.merge(message));
  }

  private boolean isModelPool(String pool) {
    ResourceSpec.PoolSpec spec = builder.configuration.get().pools().get(pool);
    return spec != null && spec.type() == PoolType.MODEL;
  }

  private Optional<TrackSettings> trackSettings(String track) {
    Configuration configuration = builder.configuration.get();
    ResourceSpec.TrackSpec spec = configuration.tracks().get(track);
    if (spec == null) {
      return Optional.empty();
    }
    List<String> pools = configuration.poolsOf(spec.trainerGroup());
    return Optional.of(new TrackSettings(pools, spec.maxVersionLag(), spec.scorer()));
  }

  private Optional<String> ownerInZone(String key) {
    return RendezvousHash.owner(key, builder.members.get().aliveIds(builder.zone));
  }

  /** Publishes a new routing table. Called on the control thread. */
  public void refresh() {
    routes = routingTableBuilder.build(builder.configuration.get(), builder.members.get());
  }

  /** Requests the reports of the engines that this node owns. Called on the control thread. */
  public void pollEngines() {
    health.poll(routingTableBuilder.ownTargets());
  }

  /** Closes steps that haven't been polled on this node for too long. */
  public void closeAbandonedSteps() {
    steps.closeIdle(id -> ownerInZone(id.key()).filter(builder.nodeId::equals).isPresent());
  }

  /** Returns the encoded loads of the engines that this node owns, for its gossip. */
  public byte[] loadPayload() {
    return EndpointLoadCodec.encode(routingTableBuilder.ownLoads());
  }

  /** Processes the loads that another node reported. */
  public void onLoadPayload(String nodeId, byte[] payload) {
    peerLoads.onPayload(nodeId, payload);
  }

  /** Returns the health of endpoints, as they and the platform report it. */
  public EndpointHealth health() {
    return health;
  }

  /** Returns the current routing table. */
  public RoutingTable routes() {
    return routes;
  }

  /** Returns the handler of the caller port. */
  public HttpHandler callerHandler() {
    return callerApi.handler();
  }

  /** Returns the handler of the trainer port. */
  public HttpHandler trainerHandler() {
    return trainerApi.handler();
  }

  /** Refuses new work from other nodes. Call after they have learned that this node is leaving. */
  public void stopAccepting() {
    accepting = false;
  }

  /** Closes the steps that this node owns and responds to their waiting polls. */
  public void closeSteps() {
    steps.closeAll();
  }

  /** Returns the number of active attempts submitted by other nodes. */
  public int receivedAttemptCount() {
    return peerAttempts.receivedCount();
  }

  /** Returns the number of open steps. */
  public int stepCount() {
    return steps.size();
  }

  /** Returns the state of endpoints, steps and quarantine for the state dump. */
  public CompletionStage<ObjectNode> dump() {
    ObjectNode state = Json.object();
    ArrayNode list = state.putArray("endpoints");
    routes.all().forEach(route -> list.add(dump(route)));
    state.set("quarantined", Json.mapper().valueToTree(poison.quarantined()));
    state.put("sentToPeers", peerAttempts.sentCount());
    state.put("runForPeers", peerAttempts.receivedCount());
    state.put("hostListAgeMs", health.hostListAgeMs());
    return steps
        .dump()
        .thenApply(
            dumped -> {
              state.set("steps", dumped);
              return state;
            });
  }

  /**
   * Returns whether an endpoint is in service, ignoring that it may be loading weights.
   *
   * @param route the endpoint
   */
  public boolean isInServiceIgnoringWeightLoading(EndpointRoute route) {
    String name = route.target().name();
    EndpointHealth.Report report = health.report(name);
    return !builder.configuration.get().drainedEndpoints().contains(name)
        && !health.isLeavingHost(route.target())
        && !report.leaving()
        && report.isReachable();
  }

  private ObjectNode dump(EndpointRoute route) {
    String name = route.target().name();
    EndpointHealth.Report report = health.report(name);
    return Json.object()
        .put("name", name)
        .put("pool", route.target().pool())
        .put("zone", route.target().zone())
        .put("owner", route.ownerNodeId())
        .put("inService", route.view().inService())
        .put("outOfServiceBy", outOfServiceBy(route, report))
        .put("inFlight", route.view().inFlight())
        .put("limit", route.view().limit())
        .put("queuedTokens", route.view().queuedTokens())
        .put("timeToFirstTokenMs", route.view().timeToFirstTokenMs())
        .put("timePerTokenMs", route.view().timePerTokenMs())
        .put("ejection", route.view().ejection().toString())
        .put("servedVersion", route.view().servedVersion());
  }

  private String outOfServiceBy(EndpointRoute route, EndpointHealth.Report report) {
    String name = route.target().name();
    if (route.view().inService()) {
      return null;
    }
    if (builder.configuration.get().drainedEndpoints().contains(name)) {
      return "drain";
    }
    if (health.isLeavingHost(route.target())) {
      return "host-list";
    }
    if (builder.outOfService.test(name)) {
      return "weight-rollout";
    }
    return report.isReachable() ? "endpoint" : "not-reachable";
  }

  /** Builds a {@link RequestComponents}. All values without a default must be set. */
  public static final class Builder {
    private String nodeId;
    private String zone;
    private NodeLimits limits;
    private EventLoopGroup loops;
    private HttpClient client;
    private EngineClient engines;
    private PeerLink link;
    private Supplier<Configuration> configuration;
    private Supplier<MembershipView> members;
    private ClaimService claims;
    private NodeMetrics metrics;
    private RoutingTableBuilder.OutOfService outOfService = endpoint -> false;
    private SampleSink sampleSink = SampleSink.NONE;
    private Function<StepSpec, CompletionStage<List<Sample>>> restore =
        step -> CompletableFuture.completedFuture(List.of());

    private Builder() {}

    /**
     * Sets the identity and the limits of this node.
     *
     * @param nodeId the id of the node
     * @param zone the availability zone of the node
     * @param limits the limits of the node
     * @return this builder
     */
    public Builder node(String nodeId, String zone, NodeLimits limits) {
      this.nodeId = nodeId;
      this.zone = zone;
      this.limits = limits;
      return this;
    }

    /**
     * Sets the components that carry traffic.
     *
     * @param loops the event loops
     * @param client the HTTP client that runs on the event loops
     * @param engines the client of the model engines
     * @param link the peer link
     * @return this builder
     */
    public Builder traffic(
        EventLoopGroup loops, HttpClient client, EngineClient engines, PeerLink link) {
      this.loops = loops;
      this.client = client;
      this.engines = engines;
      this.link = link;
      return this;
    }

    /**
     * Sets the suppliers of the control state.
     *
     * @param configuration supplies the current configuration
     * @param members supplies the current view of the members
     * @param outOfService which endpoints are taken out of service
     * @return this builder
     */
    public Builder control(
        Supplier<Configuration> configuration,
        Supplier<MembershipView> members,
        RoutingTableBuilder.OutOfService outOfService) {
      this.configuration = configuration;
      this.members = members;
      this.outOfService = outOfService;
      return this;
    }

    /**
     * Sets the claim service of calls with an idempotency key.
     *
     * @param claims the claim service
     * @return this builder
     */
    public Builder claims(ClaimService claims) {
      this.claims = claims;
      return this;
    }

    /**
     * Sets how finished samples are saved and restored.
     *
     * @param sink saves finished samples
     * @param restore reads the samples that earlier owners of a step finished
     * @return this builder
     */
    public Builder samples(
        SampleSink sink, Function<StepSpec, CompletionStage<List<Sample>>> restore) {
      this.sampleSink = sink;
      this.restore = restore;
      return this;
    }

    /**
     * Sets the metrics.
     *
     * @param metrics the node's metrics
     * @return this builder
     */
    public Builder metrics(NodeMetrics metrics) {
      this.metrics = metrics;
      return this;
    }

    /** Creates and connects the components. */
    public RequestComponents build() {
      return new RequestComponents(this);
    }
  }
}
