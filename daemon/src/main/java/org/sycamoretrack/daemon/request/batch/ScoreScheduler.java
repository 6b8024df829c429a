package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.scoring.ScoreAdmission;
import org.sycamoretrack.core.request.scoring.ScoreOrder;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Sends the scoring calls of the batches that this node owns.
 *
 * <p>Texts are scored in the order of {@link ScoreOrder} as far as {@link ScoreAdmission} admits
 * calls. The route of a call is looked up for each call, so a call follows a changed manifest.
 * While there is no route, the text keeps waiting.
 *
 * <p>Confined to the traffic loop.
 */
final class ScoreScheduler {
  /** Interval of the checks for calls whose retry delay has passed. */
  private static final long TICK_INTERVAL_MS = 25;

  /** A manifest with the missing route may arrive at any time. */
  private static final long NO_ROUTE_DELAY_MS = 200;

  private static final System.Logger LOG = System.getLogger(ScoreScheduler.class.getName());

  private final EndpointClient endpoints;
  private final Supplier<DeploymentView> views;
  private final SlotTracker tracker;
  private final ScoreAdmission admission;
  private final CoalescedTask dispatch;
  private final ActiveTimer timer;
  private final StoreBackedNodeMetrics metrics;
  private final Map<BatchRunner, Map<ItemProgress, ScoreCall>> pending = new HashMap<>();

  ScoreScheduler(
      EndpointClient endpoints,
      Supplier<DeploymentView> views,
      SlotTracker tracker,
      SlotPlacement placement,
      EventLoop loop,
      StoreBackedNodeMetrics metrics) {
    this.endpoints = endpoints;
    this.views = views;
    this.tracker = tracker;
    this.admission = new ScoreAdmission(tracker, placement);
    this.dispatch = new CoalescedTask(loop, this::dispatch);
    this.metrics = metrics;
    this.timer =
        new ActiveTimer(
            loop, "score-scheduler", TICK_INTERVAL_MS, () -> !pending.isEmpty(), this::dispatch);
  }

  /** Scores the complete text of an item, which must have a scoring request. */
  void add(BatchRunner runner, ItemProgress item) {
    item.onScoringStarted(MonotonicClock.nowMs());
    ScoreRequest request = item.item().scoreRequest().orElseThrow();
    pending
        .computeIfAbsent(runner, unused -> new HashMap<>())
        .put(item, new ScoreCall(this, runner, item, request));
    timer.start();
    requestDispatch();
  }

  /** Cancels the scoring of an item, if there is any. */
  void remove(BatchRunner runner, ItemProgress item) {
    Map<ItemProgress, ScoreCall> calls = pending.getOrDefault(runner, new HashMap<>());
    ScoreCall call = calls.remove(item);
    if (call != null) {
      call.cancel();
      requestDispatch();
    }
    if (calls.isEmpty()) {
      pending.remove(runner);
    }
  }

  /** Cancels the scoring of all items of a batch. */
  void remove(BatchRunner runner) {
    Map<ItemProgress, ScoreCall> calls = pending.remove(runner);
    if (calls != null) {
      calls.values().forEach(ScoreCall::cancel);
      requestDispatch();
    }
  }

  EndpointClient endpoints() {
    return endpoints;
  }

  SlotTracker tracker() {
    return tracker;
  }

  ScoreAdmission admission() {
    return admission;
  }

  StoreBackedNodeMetrics metrics() {
    return metrics;
  }

  /** Schedules a dispatch after the pending events of the loop. */
  void requestDispatch() {
    dispatch.request();
  }

  private void dispatch() {
    if (pending.isEmpty()) {
      return;
    }
    long nowMs = MonotonicClock.nowMs();
    ScoreOrder.sort(candidates(nowMs), nowMs).forEach(call -> send(call, nowMs));
  }

  private List<ScoreOrder.Candidate<ScoreCall>> candidates(long nowMs) {
    List<ScoreOrder.Candidate<ScoreCall>> candidates = new ArrayList<>();
    pending.forEach(
        (runner, calls) -> {
          if (!runner.mayDispatch()) {
            return;
          }
          List<ScoreCall> waiting =
              calls.values().stream().filter(call -> call.progress().isWaiting(nowMs)).toList();
          if (waiting.isEmpty()) {
            return;
          }
          Map<String, Integer> unfinished = runner.batch().unfinishedByGroup();
          for (ScoreCall call : waiting) {
            int inGroup = unfinished.getOrDefault(call.item().item().group(), 0);
            candidates.add(new ScoreOrder.Candidate<>(call, call.progress(), inGroup));
          }
        });
    return candidates;
  }

  private void send(ScoreCall call, long nowMs) {
    DeploymentView view = views.get();
    Optional<Route> route = route(view, call.request());
    if (route.isEmpty()) {
      call.progress().postpone(nowMs + NO_ROUTE_DELAY_MS);
      LOG.log(
          System.Logger.Level.INFO,
          call.describe("score-route-missing").with("host", call.request().host()));
      return;
    }
    String service = route.get().selectService(ThreadLocalRandom.current().nextInt());
    List<Endpoint> candidates = service == null ? List.of() : view.fleet().inService(service);
    Endpoint endpoint =
        admission.choose(
            candidates, call.avoidedEndpoints(), call.progress().elapsedMs(nowMs), nowMs);
    if (endpoint != null) {
      call.send(endpoint, route.get(), view.customerOf(call.batch()));
    }
  }

  private static Optional<Route> route(DeploymentView view, ScoreRequest request) {
    int query = request.path().indexOf('?');
    String path = query < 0 ? request.path() : request.path().substring(0, query);
    return view.manifest()
        .flatMap(manifest -> manifest.route(Manifest.hostName(request.host()), path));
  }
}
