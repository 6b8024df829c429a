package org.sycamoretrack.daemon.version.weights;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.core.version.routing.RouteKind;
import org.sycamoretrack.core.version.weights.ConcurrentLoadLimit;
import org.sycamoretrack.core.version.weights.LoadPlanner;
import org.sycamoretrack.core.version.weights.LoadPlanner.Load;
import org.sycamoretrack.core.version.weights.LoadPlanner.NewestVersion;
import org.sycamoretrack.core.version.weights.LoadPlanner.Target;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.EndpointClient.LoadCommand;
import org.sycamoretrack.daemon.client.EndpointClient.LoadCommandResponse;
import org.sycamoretrack.daemon.client.EndpointClient.WeightReport;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointWeights;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;

/**
 * Commands endpoints to load the model versions that trainers announce, while this node holds the
 * {@link DutyLease}.
 *
 * <p>A load has four steps: write the plan to the store, so that no node places items on the
 * endpoint; read the endpoint's sequence number, which counts the load commands that it accepted;
 * send the command on condition of that number; read reports until the endpoint serves the version.
 * A command without a response may still be executed later. It is sent again on condition of the
 * same sequence number, so that at most one of the two takes effect.
 *
 * <p>Confined to the control loop.
 */
public final class LoadCommandService {
  private static final long TICK_MS = 100;

  /** A load takes about a second, so an earlier report would not show its end. */
  private static final long FIRST_REPORT_DELAY_MS = 850;

  private static final long REPORT_INTERVAL_MS = 250;

  /** Several times the duration of a load. After this the load is abandoned and planned again. */
  private static final long LOAD_TIMEOUT_MS = 5_000;

  /** Exceeds the sum of the timeouts of the store and of a peer that forwards the call. */
  private static final long CALL_TIMEOUT_MS = 3_000;

  private final EndpointClient endpoints;
  private final Supplier<DeploymentView> views;
  private final EventLoop loop;
  private final String nodeId;
  private final DutyLease lease;
  private final LoadPlanner planner;
  private final ShareAssigner shareAssigner;
  private final StoredWeightPlan storedPlan;
  private final Map<String, Map<String, Integer>> servedVersions = new HashMap<>();
  private final Map<String, LoadInProgress> loadsInProgress = new HashMap<>();
  private final Map<String, FirstSeenVersion> firstSeenVersions = new HashMap<>();
  private long plannedEpoch;

  private static final System.Logger LOG = System.getLogger(LoadCommandService.class.getName());

  /**
   * Creates an instance that does nothing until {@link #start}.
   *
   * @param store the store, which completes calls on the loop
   * @param endpoints the client of the endpoints, which completes calls on the loop
   * @param views returns this node's current view of the deployment
   * @param loop the control loop
   * @param self this node
   * @param limit the limit on concurrent loads
   * @param shareAssigner assigns endpoints to models
   */
  public LoadCommandService(
      PartitionedStore store,
      EndpointClient endpoints,
      Supplier<DeploymentView> views,
      EventLoop loop,
      NodeRecord self,
      ConcurrentLoadLimit limit,
      ShareAssigner shareAssigner) {
    this.endpoints = endpoints;
    this.views = views;
    this.loop = loop;
    this.nodeId = self.nodeId();
    String holder = self.nodeId() + '@' + self.peerAddress();
    this.lease = new DutyLease(Duty.ORDERS, store, loop, holder, self.incarnation());
    this.planner = new LoadPlanner(limit);
    this.shareAssigner = shareAssigner;
    this.storedPlan = new StoredWeightPlan(store, loop, CALL_TIMEOUT_MS);
  }

  /** Starts to acquire the lease and to plan loads at an interval. */
  public void start() {
    lease.start();
    Runnable task = Failures.periodicTask("order-holder", this::tick);
    loop.scheduleAtFixedRate(task, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Sets whether this node tries to acquire the lease. */
  public void setCandidate(boolean candidate) {
    lease.setCandidate(candidate);
  }

  /** Returns the epoch of the lease, or 0 when this node does not hold it. */
  public long epoch() {
    return lease.epoch();
  }

  /**
   * Releases the lease.
   *
   * @return completes after a short delay in which the store is asked to record the release
   */
  public CompletionStage<Void> release() {
    return lease.release();
  }

  private void tick() {
    DeploymentView view = views.get();
    Map<String, NewestVersion> announced = announcedVersions(view);
    if (!lease.isHeld()) {
      return;
    }
    if (plannedEpoch != lease.epoch()) {
      plannedEpoch = lease.epoch();
      storedPlan.unload();
      loadsInProgress.clear();
      servedVersions.clear();
    }
    if (view.manifest().isEmpty()) {
      return;
    }
    if (!storedPlan.isLoaded()) {
      storedPlan.read(lease.epoch(), this::adoptServedVersions);
      return;
    }
    List.copyOf(loadsInProgress.values()).forEach(inProgress -> inProgress.check(view));
    Map<String, List<String>> shares = shareAssigner.assign(view, storedPlan.plan().shares());
    if (lease.mayCall()) {
      for (Load load : planner.next(targets(view, shares), announced)) {
        Endpoint endpoint = view.fleet().find(load.endpointId());
        loadsInProgress.put(load.endpointId(), new LoadInProgress(endpoint, load));
      }
    }
    storedPlan.write(toPlan(shares), lease.epoch(), this::startWrittenLoads);
  }

  /**
   * Returns the newest announced version of each model, with the time since this node first saw it.
   */
  private Map<String, NewestVersion> announcedVersions(DeploymentView view) {
    long nowMs = MonotonicClock.nowMs();
    Map<String, NewestVersion> announced = new HashMap<>();
    view.announcedVersions()
        .forEach(
            (model, version) -> {
              FirstSeenVersion seen = firstSeenVersions.get(model);
              if (seen == null || seen.version() != version) {
                seen = new FirstSeenVersion(version, nowMs);
                firstSeenVersions.put(model, seen);
              }
              announced.put(model, new NewestVersion(version, nowMs - seen.firstSeenAtMs()));
            });
    return announced;
  }

  private void adoptServedVersions() {
    storedPlan
        .plan()
        .endpoints()
        .forEach((id, weights) -> servedVersions.put(id, new HashMap<>(weights.versions())));
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

  /** Starts the loads that the stored plan shows to the other nodes. */
  private void startWrittenLoads() {
    for (LoadInProgress inProgress : List.copyOf(loadsInProgress.values())) {
      EndpointWeights writtenWeights = storedPlan.plan().endpoints().get(inProgress.endpoint.id());
      if (writtenWeights != null && writtenWeights.loading().contains(inProgress.load.model())) {
        inProgress.start();
      }
    }
  }

  /** Returns whether running requests to a service may continue after new weights are loaded. */
  private boolean mayKeepRunningRequests(String service) {
    for (Route route : views.get().manifest().orElseThrow().routes()) {
      boolean usesService =
          route.services().stream().anyMatch(used -> Objects.equals(used.service(), service));
      if (usesService && route.kind() == RouteKind.BATCH && route.singleVersion()) {
        return false;
      }
    }
    return true;
  }

  /** An announced version and the time when this node first saw it. */
  private record FirstSeenVersion(int version, long firstSeenAtMs) {}

  /** A load that was planned and has not ended. */
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
        requestReport(this::sendLoadCommand);
      }
    }

    private void requestReport(java.util.function.Consumer<WeightReport> handler) {
      if (reportPending) {
        return;
      }
      reportPending = true;
      endpoints
          .weightReport(endpoint)
          .whenComplete(
              Failures.loggingExceptions(
                  (report, failure) -> {
                    reportPending = false;
                    nextReportAtMs = MonotonicClock.nowMs() + REPORT_INTERVAL_MS;
                    if (failure != null) {
                      LOG.log(
                          System.Logger.Level.INFO,
                          LogEvent.of("report-failed")
                              .with("endpoint", endpoint.id())
                              .with("reason", Failures.unwrap(failure).getMessage()));
                      end("the report could not be read");
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

    private void sendLoadCommand(WeightReport report) {
      if (report.versions().getOrDefault(load.model(), 0) >= load.version()) {
        end("already served");
        return;
      }
      if (report.loading()) {
        return;
      }
      if (!lease.mayCall()) {
        end("the lease no longer permits load commands");
        return;
      }
      LoadCommand command =
          new LoadCommand(
              load.model(),
              load.version(),
              mayKeepRunningRequests(endpoint.service()),
              nodeId,
              lease.epoch(),
              report.sequence());
      nextReportAtMs = MonotonicClock.nowMs() + FIRST_REPORT_DELAY_MS;
      endpoints
          .sendLoadCommand(endpoint, command)
          .whenComplete(
              Failures.loggingExceptions(
                  (response, failure) -> onLoadCommandResponse(command, response, failure)));
    }

    private void onLoadCommandResponse(
        LoadCommand command, LoadCommandResponse response, Throwable failure) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("order-given")
              .with("endpoint", endpoint.id())
              .with("model", command.model())
              .with("version", command.version())
              .with("epoch", command.epoch())
              .with("sequence", command.expectedSequence())
              .with("outcome", failure == null ? response : Failures.unwrap(failure).getMessage()));
      if (failure != null) {
        return;
      }
      switch (response) {
        case ACCEPTED, ALREADY_HOLDS, CONFLICT -> {
          // The next report shows whether the endpoint loads or serves the version. A late copy of
          // another response may look like this one.
        }
        case FENCED, REFUSED, OTHER_ENDPOINT -> end("refused");
      }
    }

    private void check(DeploymentView view) {
      long nowMs = MonotonicClock.nowMs();
      Endpoint listed = view.fleet().find(endpoint.id());
      if (listed == null || listed.draining() || listed.startedAtMs() != endpoint.startedAtMs()) {
        end("the endpoint left, is draining or was restarted");
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
        sendLoadCommand(report);
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
