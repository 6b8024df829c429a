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
 * Builds the {@link RoutingTable} from the configuration in force, the live members and what is
 * known of each endpoint.
 *
 * <p>An endpoint is looked after by the node of its own zone that {@link RendezvousHash} gives; by
 * this node, when no node of that zone is alive. What is known of it comes from the worker of this
 * node when it looks after the endpoint, else from the owner's gossip. Confined to the control
 * thread.
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

  /** Says which endpoints are taken out of service, for example to load weights. */
  @FunctionalInterface
  public interface OutOfService {
    /**
     * Returns whether an endpoint gets no new work now.
     *
     * @param endpoint its name
     */
    boolean test(String endpoint);
  }

  private record AssignedEndpoint(EndpointTarget target, PoolType type, String owner) {}

  /**
   * Creates a builder.
   *
   * @param nodeId this node
   * @param endpoints the workers of this node
   * @param health what endpoints and the platform say
   * @param peerLoads what other nodes told
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
   * Builds the table.
   *
   * @param configuration the configuration in force
   * @param members the members as seen now
   */
  public RoutingTable build(Configuration configuration, MembershipView members) {
    if (configuration != lastConfiguration || members != lastMembers) {
      assign(configuration, members);
    }
    List<Route> routes = new ArrayList<>(assigned.size());
    Map<String, List<Double>> speeds = new HashMap<>();
    for (AssignedEndpoint each : assigned) {
      boolean drained = configuration.drainedEndpoints().contains(each.target().name());
      EndpointView view = view(each, drained);
      routes.add(new Route(each.target(), view, each.owner()));
      if (view.timePerTokenMs() > 0) {
        speeds
            .computeIfAbsent(each.target().pool(), any -> new ArrayList<>())
            .add(view.timePerTokenMs());
      }
    }
    updatePoolSpeeds(speeds);
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
            .filter(each -> each.type() == PoolType.MODEL)
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
      throw new IllegalStateException("address of endpoint " + name + " was not checked", e);
    }
  }

  private EndpointView view(AssignedEndpoint each, boolean drained) {
    EndpointTarget target = each.target();
    boolean inService =
        !drained && !outOfService.test(target.name()) && !health.isLeavingHost(target);
    if (each.type() == PoolType.SERVICE) {
      return EndpointView.builder(target.name(), target.zone())
          .limit(SERVICE_CONCURRENCY_LIMIT)
          .inService(inService)
          .asOfMs(MonotonicClock.nowMs())
          .build();
    }
    EndpointWorker worker = endpoints.worker(target.name());
    if (each.owner().equals(nodeId)) {
      EndpointHealth.Report report = health.report(target.name());
      return localView(worker, target, report)
          .inService(inService && !report.leaving() && report.isReachable())
          .build();
    }
    return remoteView(each, worker, inService);
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

  private EndpointView remoteView(AssignedEndpoint each, EndpointWorker worker, boolean inService) {
    EndpointTarget target = each.target();
    PeerLoads.ReportedLoad known = peerLoads.find(each.owner(), target.name());
    if (known == null) {
      return localView(worker, target, health.report(target.name())).inService(inService).build();
    }
    EndpointLoad load = known.load();
    return load.toView(target.name(), target.zone(), known.asOfMs())
        .inService(inService && !load.leaving())
        .build();
  }

  private void updatePoolSpeeds(Map<String, List<Double>> speeds) {
    for (EndpointWorker worker : endpoints.workers()) {
      List<Double> ofPool = speeds.getOrDefault(worker.target().pool(), List.of());
      if (!ofPool.isEmpty()) {
        List<Double> sorted = ofPool.stream().sorted().toList();
        worker.setPoolTimePerTokenMs(sorted.get((sorted.size() - 1) / 2));
      }
    }
  }

  /** Returns the model engines that this node looks after. */
  public List<EndpointTarget> ownTargets() {
    return assigned.stream()
        .filter(each -> each.type() == PoolType.MODEL && each.owner().equals(nodeId))
        .map(AssignedEndpoint::target)
        .toList();
  }

  /** Returns the loads of the engines that this node looks after, for its gossip. */
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
