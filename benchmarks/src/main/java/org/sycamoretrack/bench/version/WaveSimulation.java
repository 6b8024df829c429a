package org.sycamoretrack.bench.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.SimulatedEndpoint;
import org.sycamoretrack.bench.connection.SimulatedPool;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.bench.request.LatencyHistogram;
import org.sycamoretrack.bench.request.SimulatedRequest;
import org.sycamoretrack.bench.request.Workload;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.Flow;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.version.RolloutStatus;
import org.sycamoretrack.core.version.RolloutTimes;
import org.sycamoretrack.core.version.WeightRollout;
import org.sycamoretrack.core.version.WeightRollout.Command;

/**
 * New weights every minute and a half for 8 engines that serve short calls and one trainer's steps.
 *
 * <p>With each version a step opens whose samples must be made by it. Samples that an older version
 * began are thrown away when they end, and made again.
 */
final class WaveSimulation {
  private static final double PLAN_INTERVAL_MS = 100;
  private static final double CALL_MS = 2;
  private static final double PROBE_MS = 60;
  private static final double LOAD_MS = 4_000;
  private static final double WARM_UP_MS = 20_000;
  private static final double VERSION_INTERVAL_MS = 90_000;
  private static final double SHORT_CALLS_PER_S = 20;
  private static final String STEP_OF_VERSION = "step-of-version-";
  private static final int VERSIONS = 3;
  private static final int SLOTS = 256;
  private static final LimitSettings LIMITS = new LimitSettings(32, 4, 256, 1.4);

  private final VirtualTime time = new VirtualTime();
  private final LatencyHistogram calls = new LatencyHistogram();
  private final Deque<SimulatedRequest> heldSamples = new ArrayDeque<>();
  private final long seed;
  private final Strategy strategy;
  private final double loadsPerSecond;
  private final double floorShare;
  private final WeightRollout rollout;
  private final SimulatedPool pool;
  private long target = 1;
  private double publishedAtMs;
  private double slowestRolloutMs;
  private int fewestInService = Integer.MAX_VALUE;
  private long discardedTokens;
  private long deliveredTokens;

  /** How weights are rolled out. */
  enum Strategy {
    /** None are. */
    NONE,
    /** Every engine at once, work goes on everywhere. */
    ALL_AT_ONCE,
    /** In waves that keep the floor; samples wait for engines with new weights. */
    WAVES
  }

  WaveSimulation(long seed, Strategy kind, double ordersPerSecond, double floorShare) {
    this.seed = seed;
    this.strategy = kind;
    this.loadsPerSecond = ordersPerSecond;
    this.floorShare = floorShare;
    this.rollout = new WeightRollout(RolloutTimes.DEFAULT, new SplittableRandom(seed));
    this.pool =
        SimulatedPool.builder(
                new Placement.BySelector(new EndpointSelector(new SplittableRandom(seed + 1))))
            .limit(index -> ConcurrencyLimit.aimd(LIMITS))
            .viewIntervalMs(10)
            .build(time, this::onEnd);
  }

  WaveSimulation run() {
    Workload.scheduleShortCalls(
        time,
        new SplittableRandom(seed + 2),
        SHORT_CALLS_PER_S,
        0,
        call -> pool.submit(call, Workload.MEAN_SHORT_TOKENS));
    time.every(PLAN_INTERVAL_MS, this::plan);
    time.every(PLAN_INTERVAL_MS, this::submitHeldSamples);
    for (int i = 0; i < VERSIONS; i++) {
      int version = strategy == Strategy.NONE ? 1 : 2 + i;
      int step = i;
      time.after(WARM_UP_MS + i * VERSION_INTERVAL_MS, () -> publish(version, step));
    }
    time.runUntil(WARM_UP_MS + VERSIONS * VERSION_INTERVAL_MS);
    return this;
  }

  private void publish(long version, int step) {
    target = version;
    publishedAtMs = time.nowMs();
    if (strategy == Strategy.ALL_AT_ONCE) {
      for (SimulatedEndpoint endpoint : pool.endpoints()) {
        endpoint.engine().loadWeights(version, LOAD_MS, this::recordRolloutTime);
      }
    }
    for (int slot = 0; slot < SLOTS; slot++) {
      heldSamples.add(
          Workload.sample(seed + step, slot, Flow.of(STEP_OF_VERSION + version), time.nowMs()));
    }
  }

  private void recordRolloutTime() {
    slowestRolloutMs = Math.max(slowestRolloutMs, time.nowMs() - publishedAtMs);
  }

  private void submitHeldSamples() {
    int count = heldSamples.size();
    for (int i = 0; i < count; i++) {
      SimulatedRequest sample = heldSamples.poll();
      long minVersion = strategy == Strategy.WAVES ? requiredVersion(sample) : 0;
      if (!pool.hasRoomForRollout(minVersion)) {
        heldSamples.addFirst(sample);
        return;
      }
      pool.submit(sample, Workload.MEAN_SAMPLE_TOKENS, Set.of(), 0, minVersion);
    }
  }

  /** Returns the version that a sample's step asks for; it stays until the trainer has the step. */
  private static long requiredVersion(SimulatedRequest sample) {
    return Long.parseLong(sample.flow().key().substring(STEP_OF_VERSION.length()));
  }

  private void onEnd(SimulatedRequest request) {
    if (request.requestClass() == RequestClass.INTERACTIVE) {
      if (request.arrivedAtMs() >= WARM_UP_MS) {
        calls.add(request.durationMs());
      }
      return;
    }
    if (request.state() != SimulatedRequest.State.DONE
        || request.oldestWeightVersion() < requiredVersion(request)) {
      discardedTokens += request.generatedTokens();
      SimulatedRequest retry =
          new SimulatedRequest(
              request.id(),
              RequestClass.ROLLOUT,
              request.flow(),
              request.prefillTokens() - request.generatedTokens(),
              request.prefixHash(),
              request.outputTokens(),
              time.nowMs());
      heldSamples.addFirst(retry);
    } else {
      deliveredTokens += request.generatedTokens();
    }
  }

  private void plan() {
    if (strategy != Strategy.WAVES) {
      return;
    }
    List<WeightRollout.Engine> engines =
        pool.endpoints().stream()
            .map(e -> new WeightRollout.Engine(e.name(), true, e.inFlight().total(), true))
            .toList();
    WeightRollout.Situation poolState =
        new WeightRollout.Situation(target, 1, loadsPerSecond, floorShare, engines);
    rollout.plan(poolState, time.nowWholeMs()).forEach(this::execute);
    int inService = 0;
    boolean allServed = true;
    for (RolloutStatus status : rollout.statuses()) {
      pool.endpoint(status.endpoint()).inService(!status.outOfService());
      inService += status.outOfService() ? 0 : 1;
      allServed &= status.servedVersion() >= target;
    }
    fewestInService = Math.min(fewestInService, inService);
    if (!allServed && publishedAtMs > 0) {
      recordRolloutTime();
    }
  }

  private void execute(Command command) {
    String name = command.endpoint();
    SimulatedEndpoint endpoint = pool.endpoint(name);
    switch (command) {
      case Command.Read read ->
          time.after(
              CALL_MS,
              () ->
                  rollout.onRead(
                      name,
                      endpoint.engine().version(),
                      endpoint.engine().loadingVersion(),
                      time.nowWholeMs()));
      case Command.Probe probe ->
          time.after(
              PROBE_MS,
              () -> rollout.onProbed(name, endpoint.engine().version(), time.nowWholeMs()));
      case Command.Order load -> {
        endpoint.engine().loadWeights(load.version(), LOAD_MS, () -> {});
        time.after(CALL_MS, () -> rollout.onOrderSettled(name, time.nowWholeMs()));
      }
    }
  }

  LatencyHistogram calls() {
    return calls;
  }

  double slowestRolloutMs() {
    return slowestRolloutMs;
  }

  int fewestInService() {
    return fewestInService;
  }

  double discardedShare() {
    return (double) discardedTokens / Math.max(1, discardedTokens + deliveredTokens);
  }

  long deliveredTokens() {
    return deliveredTokens;
  }
}
