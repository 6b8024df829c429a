package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.connection.ZoneWork;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.batch.BatchMovePolicy;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.batch.LongestFirstOrder;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Assigns free slots of endpoints to the waiting items of the batches that this node owns.
 *
 * <p>Batches are served from the oldest to the newest, the items of a batch in the order of {@link
 * LongestFirstOrder}. An item is sent to an endpoint of its model's share that serves a version
 * allowed by the batch and isn't loading weights. If the share has no such endpoint, any other
 * endpoint of the service that meets these conditions is used. An endpoint never gets more items
 * than it has slots, since an item queued on this node can still be sent to another endpoint.
 *
 * <p>Confined to the traffic loop.
 */
final class BatchScheduler {
  /** Interval of the checks for runs that have timed out and items whose retry delay has passed. */
  private static final long TICK_INTERVAL_MS = 50;

  /** The typical number of tokens per event, used for estimates only. */
  static final int TOKENS_PER_EVENT = 50;

  private final EndpointClient endpoints;
  private final Supplier<DeploymentView> views;
  private final SlotTracker tracker;
  private final SlotPlacement placement;
  private final CoalescedTask dispatch;
  private final ActiveTimer timer;
  private final BatchMovePolicy movePolicy = new BatchMovePolicy();
  private final LongestFirstOrder itemOrder = new LongestFirstOrder(TOKENS_PER_EVENT);
  private final List<BatchRunner> runners = new ArrayList<>();
  private final Map<String, Map<String, Integer>> observedVersions = new HashMap<>();
  private boolean stopped;

  BatchScheduler(
      EndpointClient endpoints,
      Supplier<DeploymentView> views,
      SlotTracker tracker,
      SlotPlacement placement,
      EventLoop loop) {
    this.endpoints = endpoints;
    this.views = views;
    this.tracker = tracker;
    this.placement = placement;
    this.dispatch = new CoalescedTask(loop, this::dispatch);
    this.timer =
        new ActiveTimer(
            loop, "batch-scheduler", TICK_INTERVAL_MS, () -> !runners.isEmpty(), this::tick);
  }

  EndpointClient endpoints() {
    return endpoints;
  }

  SlotTracker tracker() {
    return tracker;
  }

  /** Returns the customer of the requests that are made for a batch. */
  RequestCustomer customerOf(BatchSubmission batch) {
    return views.get().customerOf(batch);
  }

  void add(BatchRunner runner) {
    runners.add(runner);
    runners.sort(
        Comparator.comparingLong((BatchRunner each) -> each.batch().submission().acceptedAtMs()));
    timer.start();
    requestDispatch();
  }

  void remove(BatchRunner runner) {
    runners.remove(runner);
    requestDispatch();
  }

  /** Prevents further runs from being started. */
  void stop() {
    stopped = true;
  }

  /** Records the version that an endpoint reported in a response. */
  void onVersion(String endpointId, String model, int version) {
    observedVersions
        .computeIfAbsent(endpointId, unused -> new HashMap<>())
        .merge(model, version, Math::max);
  }

  /** Schedules a dispatch after the pending events of the loop. */
  void requestDispatch() {
    dispatch.request();
  }

  private void tick() {
    long nowMs = MonotonicClock.nowMs();
    List.copyOf(runners).forEach(runner -> runner.onTick(nowMs));
    dispatch();
    if (!stopped) {
      List.copyOf(runners).forEach(runner -> moveSlowRuns(runner, nowMs));
    }
  }

  /**
   * Ends runs on slow endpoints when faster ones have free slots; the next dispatch restarts them.
   */
  private void moveSlowRuns(BatchRunner runner, long nowMs) {
    List<ItemRun> runs = runner.runs();
    if (runs.isEmpty() || !runner.mayDispatch()) {
      return;
    }
    List<BatchMovePolicy.Run> runStates = new ArrayList<>();
    for (int i = 0; i < runs.size(); i++) {
      ItemRun run = runs.get(i);
      String endpointId = run.endpoint().id();
      runStates.add(
          new BatchMovePolicy.Run(
              i,
              tracker.slowdown(endpointId, nowMs),
              tracker.currentSlowdown(endpointId, nowMs),
              run.elapsedMs(nowMs),
              itemOrder.expectedTokens(run.item())));
    }
    List<BatchMovePolicy.FreeSlots> freeSlots = new ArrayList<>();
    for (Endpoint endpoint : candidates(runner, runs.get(0).item().item())) {
      if (!tracker.isPaused(endpoint.id(), nowMs)) {
        double slowdown = tracker.worstSlowdown(endpoint.id(), nowMs);
        freeSlots.add(new BatchMovePolicy.FreeSlots(tracker.free(endpoint, nowMs), slowdown));
      }
    }
    int waiting = runners.stream().mapToInt(each -> each.batch().waitingCount(nowMs)).sum();
    for (int index : movePolicy.selectMoves(runStates, freeSlots, waiting)) {
      runs.get(index).move();
    }
  }

  private void dispatch() {
    if (stopped) {
      return;
    }
    long nowMs = MonotonicClock.nowMs();
    for (BatchRunner runner : List.copyOf(runners)) {
      if (runner.mayDispatch()) {
        dispatch(runner, nowMs);
      }
    }
  }

  private void dispatch(BatchRunner runner, long nowMs) {
    List<ItemProgress> waiting = itemOrder.waiting(runner.batch(), nowMs);
    int started = 0;
    for (ItemProgress item : waiting) {
      List<Endpoint> candidates = candidates(runner, item.item());
      Set<String> preferred = runner.endpointsOf(item.item().group());
      // An item that ran before may go to any zone: its endpoint may stand for a slow zone.
      Endpoint endpoint =
          item.text().lastEvent() > 0 || item.interruptions() > 0
              ? placement.chooseFree(candidates, preferred, nowMs)
              : placement.choose(
                  work(runner, item, waiting.size() - started), candidates, preferred, nowMs);
      if (endpoint == null) {
        return;
      }
      runner.start(item, endpoint);
      started++;
    }
  }

  private ZoneWork work(BatchRunner runner, ItemProgress item, int waiting) {
    BatchSubmission submission = runner.batch().submission();
    long dueMs = submission.routeSettings().dueMs();
    long remainingMs =
        dueMs == 0
            ? Long.MAX_VALUE
            : submission.acceptedAtMs() + dueMs - System.currentTimeMillis();
    return ZoneWork.item(
        ZoneWork.itemPool(submission.service(), item.item().model()),
        item.item().body().length,
        itemOrder.expectedTokens(item),
        waiting,
        remainingMs);
  }

  /** Returns the endpoints that may serve an item: those of its model's share, if there are any. */
  private List<Endpoint> candidates(BatchRunner runner, BatchItem item) {
    DeploymentView view = views.get();
    String service = runner.batch().submission().service();
    if (item.model().isEmpty()) {
      return view.fleet().inService(service);
    }
    int minVersion = runner.batch().submission().minVersion();
    List<Endpoint> inShare =
        view.assignedEndpoints(service, item.model()).stream()
            .filter(endpoint -> serves(view, endpoint, item.model(), minVersion))
            .toList();
    if (!inShare.isEmpty()) {
      return inShare;
    }
    return view.fleet().inService(service).stream()
        .filter(endpoint -> serves(view, endpoint, item.model(), minVersion))
        .toList();
  }

  private boolean serves(DeploymentView view, Endpoint endpoint, String model, int minVersion) {
    int observed = observedVersions.getOrDefault(endpoint.id(), Map.of()).getOrDefault(model, 0);
    int version = Math.max(view.version(endpoint, model), observed);
    return version >= minVersion && !view.isLoading(endpoint.id(), model);
  }
}
