package org.sycamoretrack.daemon.version.weights;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.core.version.routing.RouteKind;
import org.sycamoretrack.core.version.routing.ServiceSpec;
import org.sycamoretrack.core.version.weights.LoadLimit;
import org.sycamoretrack.core.version.weights.LoadPlanner;
import org.sycamoretrack.core.version.weights.LoadPlanner.Load;
import org.sycamoretrack.core.version.weights.LoadPlanner.Named;
import org.sycamoretrack.core.version.weights.LoadPlanner.Target;
import org.sycamoretrack.core.version.weights.ModelAssignment;
import org.sycamoretrack.daemon.farend.EndpointClient;
import org.sycamoretrack.daemon.farend.EndpointClient.LoadOrder;
import org.sycamoretrack.daemon.farend.EndpointClient.OrderAnswer;
import org.sycamoretrack.daemon.farend.EndpointClient.WeightReport;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionWrite;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.farend.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointWeights;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Moves endpoints to the versions that trainers name, while this node holds the {@link OrderLease}.
 *
 * <p>A load goes through: plan written to the store, so that no node places items there; the
 * endpoint's number of accepted orders read; order sent on condition of that number; report read
 * until the version is served. An order without an answer may be carried out later. It is sent
 * again on condition of the same number, so that one of the two has no effect.
 *
 * <p>Confined to the control loop.
 */
public final class OrderHolder {
  private static final long TICK_MS = 100;

  /** A load takes about a second; asking earlier is in vain. */
  private static final long FIRST_REPORT_DELAY_MS = 850;

  private static final long REPORT_INTERVAL_MS = 250;

  /** Several times a load; after this the order is taken as lost and planned anew. */
  private static final long LOAD_TIMEOUT_MS = 5_000;

  /** Over the time-outs of the store and of a peer that carries a call, one after the other. */
  private static final long CALL_TIMEOUT_MS = 3_000;

  private final PartitionedStore store;
  private final EndpointClient endpoints;
  private final Supplier<DeploymentView> views;
  private final EventLoop loop;
  private final String nodeId;
  private final OrderLease lease;
  private final LoadPlanner planner;
  private final Map<String, Map<String, Integer>> servedVersions = new HashMap<>();
  private final Map<String, LoadInProgress> loadsInProgress = new HashMap<>();
  private final Map<String, FirstSeenVersion> firstSeenVersions = new HashMap<>();
  private WeightPlan writtenPlan = WeightPlan.EMPTY;
  private long planRowVersion = PartitionWrite.ABSENT;
  private boolean planLoaded;
  private boolean planCallPending;
  private long plannedEpoch;

  private static final System.Logger LOG = System.getLogger(OrderHolder.class.getName());

  /**
   * Creates a holder.
   *
   * @param store the store, which answers on the loop
   * @param endpoints gives orders, and answers on the loop
   * @param views what is known of the deployment
   * @param loop the control loop
   * @param self this node
   * @param limit how many endpoints may load at once
   */
  public OrderHolder(
      PartitionedStore store,
      EndpointClient endpoints,
      Supplier<DeploymentView> views,
      EventLoop loop,
      NodeRecord self,
      LoadLimit limit) {
    this.store = store;
    this.endpoints = endpoints;
    this.views = views;
    this.loop = loop;
    this.nodeId = self.nodeId();
    String holder = self.nodeId() + '@' + self.peerAddress();
    this.lease = new OrderLease(store, loop, holder, self.incarnation());
    this.planner = new LoadPlanner(limit);
  }

  /** Starts. */
  public void start() {
    lease.start();
    Runnable task = Failures.repeated("order-holder", this::tick);
    loop.scheduleAtFixedRate(task, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Sets whether this node tries to take the lease. */
  public void setCandidate(boolean candidate) {
    lease.setCandidate(candidate);
  }

  /** Returns the epoch of the lease, 0 when it isn't held. */
  public long epoch() {
    return lease.epoch();
  }

  /**
   * Gives the lease back.
   *
   * @return done when the store was asked to note it
   */
  public CompletionStage<Void> release() {
    return lease.release();
  }

  private void tick() {
    DeploymentView view = views.get();
    Map<String, Named> named = namedVersions(view);
    if (!lease.isHeld()) {
      return;
    }
    if (plannedEpoch != lease.epoch()) {
      plannedEpoch = lease.epoch();
      planLoaded = false;
      loadsInProgress.clear();
      servedVersions.clear();
    }
    if (view.manifest().isEmpty()) {
      return;
    }
    if (!planLoaded) {
      readPlan();
      return;
    }
    List.copyOf(loadsInProgress.values()).forEach(inProgress -> inProgress.check(view));
    Map<String, List<String>> shares = assignShares(view);
    if (lease.maySendOrders()) {
      for (Load load : planner.next(targets(view, shares), named)) {
        Endpoint endpoint = view.fleet().find(load.endpointId());
        loadsInProgress.put(load.endpointId(), new LoadInProgress(endpoint, load));
      }
    }
    writePlan(toPlan(shares));
  }

  /** Returns the newest versions with the time since this node learnt of them. */
  private Map<String, Named> namedVersions(DeploymentView view) {
    long nowMs = MonotonicClock.nowMs();
    Map<String, Named> named = new HashMap<>();
    view.namedVersions()
        .forEach(
            (model, version) -> {
              FirstSeenVersion seen = firstSeenVersions.get(model);
              if (seen == null || seen.version() != version) {
                seen = new FirstSeenVersion(version, nowMs);
                firstSeenVersions.put(model, seen);
              }
              named.put(model, new Named(version, nowMs - seen.firstSeenAtMs()));
            });
    return named;
  }

  private void readPlan() {
    if (planCallPending) {
      return;
    }
    planCallPending = true;
    Failures.bounded(
            store.scan(ControlTables.CONTROL, ControlTables.ORDERS, ControlTables.WEIGHTS, 1),
            loop,
            CALL_TIMEOUT_MS)
        .whenComplete(
            Failures.logged(
                (page, failure) -> {
                  planCallPending = false;
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("weight-plan-not-read")
                            .with("epoch", lease.epoch())
                            .with("reason", Failures.unwrap(failure).getMessage()));
                    return;
                  }
                  writtenPlan = WeightPlan.EMPTY;
                  planRowVersion = PartitionWrite.ABSENT;
                  for (Row row : page.rows()) {
                    if (row.key().equals(ControlTables.WEIGHTS)) {
                      writtenPlan = ControlTables.readPlan(row);
                      planRowVersion = row.version();
                    }
                  }
                  writtenPlan
                      .endpoints()
                      .forEach(
                          (id, weights) ->
                              servedVersions.put(id, new HashMap<>(weights.versions())));
                  planLoaded = true;
                }));
  }

  private Map<String, List<String>> assignShares(DeploymentView view) {
    Map<String, List<String>> shares = new HashMap<>();
    for (ServiceSpec service : view.manifest().orElseThrow().services().values()) {
      if (!service.models().isEmpty()) {
        List<String> ids =
            view.fleet().inService(service.name()).stream().map(Endpoint::id).toList();
        shares.putAll(ModelAssignment.assign(service.models(), ids, writtenPlan.shares()));
      }
    }
    return shares;
  }

  private int knownVersion(Endpoint endpoint, String model) {
    int known = servedVersions.getOrDefault(endpoint.id(), Map.of()).getOrDefault(model, 0);
    return Math.max(known, endpoint.version(model));
  }

  private List<Target> targets(DeploymentView view, Map<String, List<String>> shares) {
    List<Target> targets = new ArrayList<>();
    shares.forEach(
        (model, ids) -> {
          for (String id : ids) {
            Endpoint endpoint = view.fleet().find(id);
            if (endpoint != null) {
              targets.add(
                  new Target(
                      id, model, knownVersion(endpoint, model), loadsInProgress.containsKey(id)));
            }
          }
        });
    return targets;
  }

  private WeightPlan toPlan(Map<String, List<String>> shares) {
    Map<String, EndpointWeights> endpoints = new HashMap<>();
    Set<String> assigned = new HashSet<>();
    shares.values().forEach(assigned::addAll);
    for (String id : assigned) {
      LoadInProgress inProgress = loadsInProgress.get(id);
      List<String> models = inProgress == null ? List.of() : List.of(inProgress.load.model());
      endpoints.put(id, new EndpointWeights(servedVersions.getOrDefault(id, Map.of()), models));
    }
    return new WeightPlan(shares, endpoints);
  }

  private void writePlan(WeightPlan plan) {
    if (planCallPending || plan.equals(writtenPlan)) {
      startWrittenLoads();
      return;
    }
    planCallPending = true;
    PartitionWrite write =
        PartitionWrite.in(ControlTables.ORDERS)
            .expect(ControlTables.CONTROL, ControlTables.WEIGHTS, planRowVersion)
            .put(ControlTables.CONTROL, ControlTables.WEIGHTS, ControlTables.write(plan))
            .build();
    Failures.bounded(store.commit(write), loop, CALL_TIMEOUT_MS)
        .whenComplete(
            Failures.logged(
                (result, failure) -> {
                  planCallPending = false;
                  if (failure == null && result instanceof WriteResult.Committed committed) {
                    logShares(plan);
                    writtenPlan = plan;
                    planRowVersion = committed.version();
                    startWrittenLoads();
                  } else {
                    planLoaded = false;
                  }
                }));
  }

  private void logShares(WeightPlan plan) {
    if (!plan.shares().equals(writtenPlan.shares())) {
      Map<String, Integer> sizes = new TreeMap<>();
      plan.shares().forEach((model, ids) -> sizes.put(model, ids.size()));
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("endpoint-shares").with("sizes", sizes).with("epoch", lease.epoch()));
    }
  }

  /** Starts the loads that the written plan tells other nodes of. */
  private void startWrittenLoads() {
    for (LoadInProgress inProgress : List.copyOf(loadsInProgress.values())) {
      EndpointWeights writtenWeights = writtenPlan.endpoints().get(inProgress.endpoint.id());
      if (writtenWeights != null && writtenWeights.loading().contains(inProgress.load.model())) {
        inProgress.start();
      }
    }
  }

  /** Returns whether running texts may go on under new weights of a service's models. */
  private boolean mayKeepRunningRequests(String service) {
    for (Route route : views.get().manifest().orElseThrow().routes()) {
      boolean usesService =
          route.services().stream().anyMatch(each -> Objects.equals(each.service(), service));
      if (usesService && route.kind() == RouteKind.BATCH && route.singleVersion()) {
        return false;
      }
    }
    return true;
  }

  /** A version with the time when this node first saw it named. */
  private record FirstSeenVersion(int version, long firstSeenAtMs) {}

  /** A load that is under way. */
  private final class LoadInProgress {
    private final Endpoint endpoint;
    private final Load load;
    private final long plannedAtMs = MonotonicClock.nowMs();
    private boolean started;
    private boolean reportPending;
    private long nextReportAtMs;

    private LoadInProgress(Endpoint endpoint, Load load) {
      this.endpoint = endpoint;
      this.load = load;
    }

    private void start() {
      if (!started) {
        started = true;
        requestReport(this::sendOrder);
      }
    }

    private void requestReport(java.util.function.Consumer<WeightReport> handler) {
      if (reportPending) {
        return;
      }
      reportPending = true;
      endpoints
          .report(endpoint)
          .whenComplete(
              Failures.logged(
                  (report, failure) -> {
                    reportPending = false;
                    nextReportAtMs = MonotonicClock.nowMs() + REPORT_INTERVAL_MS;
                    if (failure != null) {
                      LOG.log(
                          System.Logger.Level.INFO,
                          LogEvent.of("report-failed")
                              .with("endpoint", endpoint.id())
                              .with("reason", Failures.unwrap(failure).getMessage()));
                      end("no report");
                    } else {
                      report.versions().forEach(this::recordServedVersion);
                      handler.accept(report);
                    }
                  }));
    }

    private void recordServedVersion(String model, int version) {
      servedVersions
          .computeIfAbsent(endpoint.id(), any -> new HashMap<>())
          .merge(model, version, Math::max);
    }

    private void sendOrder(WeightReport report) {
      if (report.versions().getOrDefault(load.model(), 0) >= load.version()) {
        end("served already");
        return;
      }
      if (report.loading()) {
        return;
      }
      if (!lease.maySendOrders()) {
        end("the lease is not held");
        return;
      }
      LoadOrder order =
          new LoadOrder(
              load.model(),
              load.version(),
              mayKeepRunningRequests(endpoint.service()),
              nodeId,
              lease.epoch(),
              report.sequence());
      nextReportAtMs = MonotonicClock.nowMs() + FIRST_REPORT_DELAY_MS;
      endpoints
          .order(endpoint, order)
          .whenComplete(
              Failures.logged((answer, failure) -> onOrderAnswer(order, answer, failure)));
    }

    private void onOrderAnswer(LoadOrder order, OrderAnswer answer, Throwable failure) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("order-given")
              .with("endpoint", endpoint.id())
              .with("model", order.model())
              .with("version", order.version())
              .with("epoch", order.epoch())
              .with("sequence", order.expectedSequence())
              .with("outcome", failure == null ? answer : Failures.unwrap(failure).getMessage()));
      if (failure != null) {
        return;
      }
      switch (answer) {
        case ACCEPTED, CONFLICT -> {
          // The report shows what the endpoint does.
        }
        case ALREADY_HOLDS -> {
          recordServedVersion(order.model(), order.version());
          end("served already");
        }
        case FENCED, REFUSED, OTHER_ENDPOINT -> end("refused");
      }
    }

    private void check(DeploymentView view) {
      long nowMs = MonotonicClock.nowMs();
      Endpoint listed = view.fleet().find(endpoint.id());
      if (listed == null || listed.draining() || listed.bornMs() != endpoint.bornMs()) {
        end("the endpoint left");
      } else if (knownVersion(listed, load.model()) >= load.version()) {
        end("served");
      } else if (nowMs - plannedAtMs > LOAD_TIMEOUT_MS) {
        end("timed out");
      } else if (started && nowMs >= nextReportAtMs) {
        requestReport(this::onReport);
      }
    }

    private void onReport(WeightReport report) {
      if (report.versions().getOrDefault(load.model(), 0) >= load.version()) {
        end("served");
      } else if (!report.loading()) {
        sendOrder(report);
      }
    }

    private void end(String reason) {
      if (loadsInProgress.remove(endpoint.id(), this)) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("load-ended")
                .with("endpoint", endpoint.id())
                .with("model", load.model())
                .with("version", load.version())
                .with("elapsedMs", MonotonicClock.nowMs() - plannedAtMs)
                .with("reason", reason));
      }
    }
  }
}
