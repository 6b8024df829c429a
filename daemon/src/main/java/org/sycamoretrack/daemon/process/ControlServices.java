package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agrona.concurrent.SystemNanoClock;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.HostList;
import org.sycamoretrack.daemon.client.HttpEngineClient;
import org.sycamoretrack.daemon.client.HttpHostList;
import org.sycamoretrack.daemon.client.HttpObjectStore;
import org.sycamoretrack.daemon.client.HttpTableStore;
import org.sycamoretrack.daemon.client.HttpWeightStore;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.request.ClaimService;
import org.sycamoretrack.daemon.request.EndpointRoute;
import org.sycamoretrack.daemon.request.RequestComponents;
import org.sycamoretrack.daemon.request.SampleJournal;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.daemon.version.NodeLease;
import org.sycamoretrack.daemon.version.RolloutContext;
import org.sycamoretrack.daemon.version.RolloutGroup;
import org.sycamoretrack.daemon.version.WeightRolloutService;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;

/**
 * The services whose state is confined to the control thread: membership, configuration, lease,
 * claims and weight rollouts, with the timers that drive them.
 *
 * <p>Traffic threads read only the immutable snapshots that these services publish.
 */
final class ControlServices {
  private static final int PLATFORM_TIMEOUT_MS = 2_000;
  private static final int ENGINE_CALL_TIMEOUT_MS = 2_000;
  private static final int PAUSE_MARGIN_MS = 3_000;
  private static final int ROUTES_PERIOD_MS = 50;
  private static final int SERVICES_PERIOD_MS = 100;
  private static final int ENGINES_PERIOD_MS = 500;
  private static final int HOSTS_PERIOD_MS = 2_000;
  private static final int STEPS_PERIOD_MS = 5_000;
  private static final int DUMP_PERIOD_MS = 1_000;
  private static final int JOURNAL_PERIOD_MS = 1_000;
  private static final long MAX_JOURNAL_CHARS = 16 << 20;
  private static final double JITTER_SHARE = 0.1;
  private static final int QUEUE_CAPACITY = 8_192;

  private final NodeSettings settings;
  private final ControlAgent control;
  private final PeerLink link;
  private final HostList hostList;
  private final MembershipService membership;
  private final ConfigurationService configuration;
  private final LeaseService lease;
  private final ClaimService claims;
  private final WeightRolloutService rollouts;
  private final SampleJournal journal;
  private final RequestComponents requests;
  private volatile JsonNode controlDump = Json.object();
  private volatile JsonNode requestsDump = Json.object();

  ControlServices(NodeSettings settings, Dependencies dependencies, NodeMetrics metrics) {
    this.settings = settings;
    this.control = dependencies.control();
    this.link = dependencies.link();
    HttpClient client = dependencies.client();
    TableStore table = new HttpTableStore(client, settings.platform().table(), PLATFORM_TIMEOUT_MS);
    this.hostList = new HttpHostList(client, settings.platform().hosts(), PLATFORM_TIMEOUT_MS);
    EngineClient engines = new HttpEngineClient(client, ENGINE_CALL_TIMEOUT_MS);
    this.membership = membership(dependencies);
    this.configuration =
        new ConfigurationService(control, link, membership::view, table, new Random());
    this.lease = lease(table, dependencies.incarnation());
    this.claims = claims(table, dependencies.incarnation());
    this.journal =
        new SampleJournal(
            new HttpObjectStore(client, settings.platform().objects(), PLATFORM_TIMEOUT_MS),
            dependencies.incarnation(),
            MAX_JOURNAL_CHARS);
    this.requests = requests(dependencies, engines, metrics);
    this.rollouts = rollouts(table, client, engines);
    registerGauges(metrics);
  }

  /**
   * The dependencies of the control services.
   *
   * @param incarnation identifies this process uniquely
   * @param loops the event loops for traffic
   * @param control the control thread
   * @param link the peer link
   * @param client the HTTP client
   */
  record Dependencies(
      String incarnation,
      EventLoopGroup loops,
      ControlAgent control,
      PeerLink link,
      HttpClient client) {}

  static ControlAgent newControlAgent() {
    return new ControlAgent(QUEUE_CAPACITY, SystemNanoClock.INSTANCE, new Random());
  }

  private MembershipService membership(Dependencies dependencies) {
    InetSocketAddress peerAddress = dependencies.link().address();
    Member self =
        new Member(
            settings.nodeId(),
            settings.zone(),
            settings.region(),
            Addresses.format(peerAddress),
            0,
            0,
            MemberState.ALIVE,
            0);
    return MembershipService.builder()
        .control(control)
        .link(link)
        .self(self)
        .seeds(settings.peers())
        .hostList(hostList)
        .build();
  }

  private LeaseService lease(TableStore table, String incarnation) {
    String address = Addresses.format(link.address());
    LeaseService.Holder holder =
        new LeaseService.Holder(settings.nodeId(), incarnation, address, settings.zone());
    return new LeaseService(
        table, holder, LeaseTimings.DEFAULT, SystemNanoClock.INSTANCE, control::execute);
  }

  private ClaimService claims(TableStore table, String incarnation) {
    return ClaimService.builder()
        .node(settings.nodeId(), incarnation)
        .table(table)
        .leaseHeld(() -> lease.holds() && configuration.isLoaded())
        .aliveNodeIds(() -> membership.view().aliveIds())
        .control(control::execute)
        .clocks(MonotonicClock::nowMs, System::currentTimeMillis)
        .build();
  }

  private RequestComponents requests(
      Dependencies dependencies, EngineClient engines, NodeMetrics metrics) {
    return RequestComponents.builder()
        .node(settings.nodeId(), settings.zone(), settings.limits())
        .traffic(dependencies.loops(), dependencies.client(), engines, link)
        .control(
            configuration::current,
            membership::view,
            endpoint -> rollouts().view().isOutOfService(endpoint))
        .claims(claims)
        .samples(journal, journal::restore)
        .metrics(metrics)
        .build();
  }

  private WeightRolloutService rollouts() {
    return rollouts;
  }

  private WeightRolloutService rollouts(TableStore table, HttpClient client, EngineClient engines) {
    return WeightRolloutService.builder()
        .node(settings.nodeId(), NodeLease.of(lease))
        .platform(
            table, new HttpWeightStore(client, settings.platform().weights(), PLATFORM_TIMEOUT_MS))
        .engines(engines)
        .context(new NodeRolloutContext())
        .runtime(SystemNanoClock.INSTANCE, new Random(), control::execute)
        .timings(org.sycamoretrack.core.version.RolloutTimings.DEFAULT, PAUSE_MARGIN_MS)
        .build();
  }

  private void registerGauges(NodeMetrics metrics) {
    metrics.gauge(
        "configuration_version",
        "Version of the current configuration",
        () -> configuration.current().version());
    metrics.gauge("lease_held", "1 while the node holds its lease", () -> lease.holds() ? 1 : 0);
    metrics.gauge(
        "members_alive", "Members that accept work", () -> membership.view().alive().size());
    metrics.gauge("steps_open", "Open steps owned by this node", requests::stepCount);
    metrics.gauge("process_cpu_seconds", "CPU time of the process", CpuTimes::processSeconds);
    metrics.gauge(
        "control_cpu_seconds",
        "CPU time of the control thread",
        () -> CpuTimes.threadSeconds(control.threadId()));
    metrics.gauge(
        "control_queue_length",
        "Commands in the queue of the control thread",
        control::queueLength);
  }

  /** Starts the services and their timers, and joins the other nodes. */
  void start() {
    membership.onLoad(requests::onLoadPayload);
    membership.setLoadSource(requests::loadPayload);
    configuration.onChange(current -> membership.setConfigVersion(current.version()));
    configuration.start();
    membership.start();
    schedulePeriodically("routes", ROUTES_PERIOD_MS, requests::refresh);
    schedulePeriodically("lease", SERVICES_PERIOD_MS, this::pollLease);
    schedulePeriodically("claims", SERVICES_PERIOD_MS, claims::poll);
    schedulePeriodically("rollouts", SERVICES_PERIOD_MS, rollouts::poll);
    schedulePeriodically("engines", ENGINES_PERIOD_MS, requests::pollEngines);
    schedulePeriodically("hosts", HOSTS_PERIOD_MS, this::readHosts);
    schedulePeriodically("journal", JOURNAL_PERIOD_MS, journal::flush);
    schedulePeriodically("dump", DUMP_PERIOD_MS, this::refreshDumps);
    schedulePeriodically("steps", STEPS_PERIOD_MS, requests::closeAbandonedSteps);
  }

  private void schedulePeriodically(String name, int periodMs, Runnable action) {
    control.scheduleAtFixedRate(name, periodMs, JITTER_SHARE, action);
  }

  private void pollLease() {
    lease.poll();
    long epoch = lease.epoch();
    if (epoch != 0 && epoch != membership.view().self().epoch()) {
      membership.setEpoch(epoch);
    }
  }

  private void readHosts() {
    hostList.hosts().thenAccept(requests.health()::onHostList).exceptionally(failure -> null);
  }

  RequestComponents requestComponents() {
    return requests;
  }

  ConfigurationService configurationService() {
    return configuration;
  }

  MembershipView members() {
    return membership.view();
  }

  /** Announces to the other nodes that this node is leaving. */
  void leave() {
    membership.leave();
  }

  /**
   * Writes pending finished samples to the journal, so that the next owners of the steps can
   * restore them.
   */
  void flushJournal() {
    journal.flush();
  }

  /** Releases the claim ranges and then the lease; completes when both releases have ended. */
  CompletionStage<Void> releaseClaimsAndLease() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    boolean queued =
        control.execute(
            () ->
                claims
                    .stop()
                    .thenCompose(stopped -> lease.release())
                    .whenComplete((released, failure) -> done.complete(null)));
    return queued ? done : CompletableFuture.completedFuture(null);
  }

  private void refreshDumps() {
    controlDump = dump();
    requests.dump().thenAccept(dump -> requestsDump = dump);
  }

  /** Returns the dump of the control state, which is refreshed about once a second. */
  JsonNode lastControlDump() {
    return controlDump;
  }

  /** Returns the dump of requests, steps and endpoints, which is refreshed about once a second. */
  JsonNode lastRequestsDump() {
    return requestsDump;
  }

  private ObjectNode dump() {
    ObjectNode state = Json.object();
    state
        .put("configurationVersion", configuration.current().version())
        .put("leaseHeld", lease.holds())
        .put("leaseEpoch", lease.epoch())
        .put("claimRangesOwned", claims.ownedCount())
        .put("claimKeys", claims.keyCount())
        .put("samplesJournaled", journal.writtenCount())
        .put("samplesNotJournaled", journal.skippedCount())
        .put("samplesRestored", journal.restoredCount())
        .put("controlQueueLength", control.queueLength())
        .put("controlQueueRefusals", control.refusalCount());
    var members = state.putArray("members");
    for (Member member : membership.view().members()) {
      members
          .addObject()
          .put("nodeId", member.nodeId())
          .put("zone", member.zone())
          .put("state", member.state().toString())
          .put("epoch", member.epoch())
          .put("configVersion", member.configVersion());
    }
    var groups = state.putArray("rolloutGroups");
    rollouts
        .view()
        .groups()
        .forEach(
            group ->
                groups
                    .addObject()
                    .put("pool", group.group().pool())
                    .put("zone", group.group().zone())
                    .put("epoch", group.epoch())
                    .put("loading", group.loading()));
    state.set("targetVersions", Json.mapper().valueToTree(rollouts.view().targetVersions()));
    return state;
  }

  /** The node's state as weight rollouts access it. */
  private final class NodeRolloutContext implements RolloutContext {
    @Override
    public Configuration configuration() {
      return configuration.current();
    }

    @Override
    public boolean owns(RolloutGroup group) {
      return WeightRolloutService.owns(group, membership.view(), settings.nodeId());
    }

    @Override
    public boolean sendsWorkTo(String endpoint) {
      return route(endpoint)
          .filter(route -> route.ownerNodeId().equals(settings.nodeId()))
          .isPresent();
    }

    private Optional<EndpointRoute> route(String endpoint) {
      return requests.routes().ofName(endpoint);
    }

    @Override
    public boolean isInService(String endpoint) {
      return route(endpoint).filter(requests::isInServiceIgnoringWeightLoading).isPresent();
    }

    @Override
    public int inFlight(String endpoint) {
      return route(endpoint).map(route -> route.view().inFlight()).orElse(0);
    }
  }
}
