package org.sycamoretrack.daemon.request;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.daemon.connection.EndpointLoad;

/**
 * Builds the {@link RoutingTable} from the current configuration, the live members and the state of
 * the endpoints.
 *
 * <p>The owner of an endpoint is a node of the endpoint's zone, selected by {@link RendezvousHash},
 * or this node if no node of that zone is alive. The state of an endpoint comes from the local
 * worker if this node is the owner, otherwise from the owner's gossip.
 *
 * <p>Confined to the control thread.
 */
public final class RoutingTableBuilder {
  private static final int SERVICE_CONCURRENCY_LIMIT = 256;
  private static final int DEFAULT_CONCURRENCY_LIMIT = 16;

  private final String nodeId;
  private final EndpointDirectory endpoints;
  private final EndpointHealth health;
  private final PeerLoads peerLoads;
  private final OutOfService outOfService;
  private Configuration lastConfiguration = Configuration.EMPTY;
  private MembershipView lastMembers;
  private List<AssignedEndpoint> assigned = List.of();

  /** Determines which endpoints are taken out of service, for example to load weights. */
  @FunctionalInterface
  public interface OutOfService {
    /**
     * Returns whether an endpoint currently gets no new work.
     *
     * @param endpoint the name of the endpoint
     */
    boolean test(String endpoint);
  }

  private record AssignedEndpoint(EndpointTarget target, PoolType type, String owner) {}

  /**
   * Creates a builder.
   *
   * @param nodeId the id of this node
   * @param endpoints the endpoint workers of this node
   * @param health the reports of endpoints and the platform
   * @param peerLoads the endpoint loads reported by other nodes
   * @param outOfService which endpoints are taken out of service
   */
  public RoutingTableBuilder(
      String nodeId,
      EndpointDirectory endpoints,
      EndpointHealth health,
      PeerLoads peerLoads,
      OutOfService outOfService) {
    this.nodeId = nodeId;
    this.endpoints = endpoints;
    this.health = health;
    this.peerLoads = peerLoads;
    this.outOfService = outOfService;
  }

  /**
   * Builds the table and updates the endpoint workers of this node.
   *
   * @param configuration the current configuration
   * @param members the current view of the members
   */
  public RoutingTable build(Configuration configuration, MembershipView members) {
    if (configuration != lastConfiguration || members != lastMembers) {
      assign(configuration, members);
    }
    List<EndpointRoute> routes = new ArrayList<>(assigned.size());
    Map<String, List<Double>> timesPerTokenMs = new HashMap<>();
    for (AssignedEndpoint endpoint : assigned) {
      boolean drained = configuration.drainedEndpoints().contains(endpoint.target().name());
      EndpointView view = view(endpoint, drained);
      routes.add(new EndpointRoute(endpoint.target(), view, endpoint.owner()));
      if (view.timePerTokenMs() > 0) {
        timesPerTokenMs
            .computeIfAbsent(endpoint.target().pool(), unused -> new ArrayList<>())
            .add(view.timePerTokenMs());
      }
    }
    updatePoolTimesPerToken(timesPerTokenMs);
    return new RoutingTable(routes);
  }

  private void assign(Configuration configuration, MembershipView members) {
    lastConfiguration = configuration;
    lastMembers = members;
    List<AssignedEndpoint> all = new ArrayList<>();
    configuration
        .endpoints()
        .forEach(
            (name, spec) -> {
              ResourceSpec.PoolSpec pool = configuration.pools().get(spec.pool());
              if (pool != null) {
                String owner = owner(name, spec.zone(), members);
                all.add(new AssignedEndpoint(target(name, spec, pool), pool.type(), owner));
              }
            });
    assigned = List.copyOf(all);
    endpoints.setTargets(
        all.stream()
            .filter(endpoint -> endpoint.type() == PoolType.MODEL)
            .map(AssignedEndpoint::target)
            .toList());
  }

  private String owner(String endpoint, String zone, MembershipView members) {
    return RendezvousHash.owner("endpoint/" + endpoint, members.aliveIds(zone)).orElse(nodeId);
  }

  private static EndpointTarget target(
      String name, ResourceSpec.EndpointSpec spec, ResourceSpec.PoolSpec pool) {
    try {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getByName(spec.address()), spec.port());
      String model = pool.model() == null ? "" : pool.model();
      return new EndpointTarget(name, spec.pool(), spec.zone(), address, model);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("the address of endpoint " + name + " can't be resolved", e);
    }
  }

  private EndpointView view(AssignedEndpoint endpoint, boolean drained) {
    EndpointTarget target = endpoint.target();
    boolean inService =
        !drained && !outOfService.test(target.name()) && !health.isLeavingHost(target);
    if (endpoint.type() == PoolType.SERVICE) {
      return EndpointView.builder(target.name(), target.zone())
          .limit(SERVICE_CONCURRENCY_LIMIT)
          .inService(inService)
          .asOfMs(MonotonicClock.nowMs())
          .build();
    }
    EndpointWorker worker = endpoints.worker(target.name());
    if (endpoint.owner().equals(nodeId)) {
      EndpointHealth.Report report = health.report(target.name());
      return localView(worker, target, report)
          .inService(inService && !report.leaving() && report.isReachable())
          .build();
    }
    return remoteView(endpoint, worker, inService);
  }

  private static EndpointView.Builder localView(
      EndpointWorker worker, EndpointTarget target, EndpointHealth.Report report) {
    if (worker == null) {
      return EndpointView.builder(target.name(), target.zone())
          .limit(DEFAULT_CONCURRENCY_LIMIT)
          .servedVersion(report.servedVersion())
          .asOfMs(MonotonicClock.nowMs());
    }
    long version = Math.max(report.servedVersion(), worker.lastVersion());
    return EndpointLoad.of(worker.view(), false, version)
        .toView(target.name(), target.zone(), MonotonicClock.nowMs());
  }

  private EndpointView remoteView(
      AssignedEndpoint endpoint, EndpointWorker worker, boolean inService) {
    EndpointTarget target = endpoint.target();
    PeerLoads.ReportedLoad reported = peerLoads.find(endpoint.owner(), target.name());
    if (reported == null) {
      return localView(worker, target, health.report(target.name())).inService(inService).build();
    }
    EndpointLoad load = reported.load();
    return load.toView(target.name(), target.zone(), reported.asOfMs())
        .inService(inService && !load.leaving())
        .build();
  }

  private void updatePoolTimesPerToken(Map<String, List<Double>> timesPerTokenMs) {
    for (EndpointWorker worker : endpoints.workers()) {
      List<Double> ofPool = timesPerTokenMs.getOrDefault(worker.target().pool(), List.of());
      if (!ofPool.isEmpty()) {
        List<Double> sorted = ofPool.stream().sorted().toList();
        worker.setPoolTimePerTokenMs(sorted.get((sorted.size() - 1) / 2));
      }
    }
  }

  /** Returns the model engines that this node owns. */
  public List<EndpointTarget> ownTargets() {
    return assigned.stream()
        .filter(endpoint -> endpoint.type() == PoolType.MODEL && endpoint.owner().equals(nodeId))
        .map(AssignedEndpoint::target)
        .toList();
  }

  /** Returns the loads of the model engines that this node owns, for its gossip. */
  public List<EndpointLoad> ownLoads() {
    List<EndpointLoad> loads = new ArrayList<>();
    for (EndpointTarget target : ownTargets()) {
      EndpointHealth.Report report = health.report(target.name());
      EndpointView view = localView(endpoints.worker(target.name()), target, report).build();
      boolean leaving =
          report.leaving() || !report.isReachable() || outOfService.test(target.name());
      loads.add(EndpointLoad.of(view, leaving, view.servedVersion()));
    }
    return loads;
  }
}
