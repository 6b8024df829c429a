package org.sycamoretrack.bench.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.sycamoretrack.bench.connection.ModelEndpoint;
import org.sycamoretrack.bench.connection.ModelPool;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.bench.request.Latencies;
import org.sycamoretrack.bench.request.ModelRequest;
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
final class WaveRun {
  private static final double PLAN_MS = 100;
  private static final double CALL_MS = 2;
  private static final double PROBE_MS = 60;
  private static final double LOAD_MS = 4_000;
  private static final double WARM_UP_MS = 20_000;
  private static final double VERSION_EVERY_MS = 90_000;
  private static final double SHORT_CALLS_PER_S = 20;
  private static final String STEP_OF_VERSION = "step-of-version-";
  private static final int VERSIONS = 3;
  private static final int SLOTS = 256;
  private static final LimitSettings LIMITS = new LimitSettings(32, 4, 256, 1.4);

  private final VirtualTime time = new VirtualTime();
  private final Latencies calls = new Latencies();
  private final Deque<ModelRequest> held = new ArrayDeque<>();
  private final long seed;
  private final Kind kind;
  private final double ordersPerSecond;
  private final double floorShare;
  private final WeightRollout rollout;
  private final ModelPool pool;
  private long target = 1;
  private double publishedAtMs;
  private double slowestMs;
  private int fewestInService = Integer.MAX_VALUE;
  private long thrownAway;
  private long delivered;

  /** How weights are rolled out. */
  enum Kind {
    /** None are. */
    NONE,
    /** Every engine at once, work goes on everywhere. */
    ALL_AT_ONCE,
    /** In waves that keep the floor; samples wait for engines with new weights. */
    WAVES
  }

  WaveRun(long seed, Kind kind, double ordersPerSecond, double floorShare) {
    this.seed = seed;
    this.kind = kind;
    this.ordersPerSecond = ordersPerSecond;
    this.floorShare = floorShare;
    this.rollout = new WeightRollout(RolloutTimes.DEFAULT, new SplittableRandom(seed));
    this.pool =
        ModelPool.builder(
                new Placement.BySelector(new EndpointSelector(new SplittableRandom(seed + 1))))
            .limit(index -> ConcurrencyLimit.aimd(LIMITS))
            .viewIntervalMs(10)
            .build(time, this::onEnd);
  }

  WaveRun run() {
    Workload.shortCalls(
        time,
        new SplittableRandom(seed + 2),
        SHORT_CALLS_PER_S,
        0,
        call -> pool.submit(call, Workload.MEAN_SHORT_TOKENS));
    time.every(PLAN_MS, this::plan);
    time.every(PLAN_MS, this::startHeld);
    for (int i = 0; i < VERSIONS; i++) {
      int version = kind == Kind.NONE ? 1 : 2 + i;
      int step = i;
      time.after(WARM_UP_MS + i * VERSION_EVERY_MS, () -> publish(version, step));
    }
    time.runUntil(WARM_UP_MS + VERSIONS * VERSION_EVERY_MS);
    return this;
  }

  private void publish(long version, int step) {
    target = version;
    publishedAtMs = time.nowMs();
    if (kind == Kind.ALL_AT_ONCE) {
      for (ModelEndpoint endpoint : pool.endpoints()) {
        endpoint.engine().load(version, LOAD_MS, this::noteLoaded);
      }
    }
    for (int slot = 0; slot < SLOTS; slot++) {
      held.add(
          Workload.sample(seed + step, slot, Flow.of(STEP_OF_VERSION + version), time.nowMs()));
    }
  }

  private void noteLoaded() {
    slowestMs = Math.max(slowestMs, time.nowMs() - publishedAtMs);
  }

  private void startHeld() {
    int most = held.size();
    for (int i = 0; i < most; i++) {
      ModelRequest sample = held.poll();
      long oldest = kind == Kind.WAVES ? requiredVersion(sample) : 0;
      if (!pool.hasRoomForRollout(oldest)) {
        held.addFirst(sample);
        return;
      }
      pool.submit(sample, Workload.MEAN_SAMPLE_TOKENS, Set.of(), 0, oldest);
    }
  }

  /** Returns the version that a sample's step asks for; it stays until the trainer has the step. */
  private static long requiredVersion(ModelRequest sample) {
    return Long.parseLong(sample.flow().key().substring(STEP_OF_VERSION.length()));
  }

  private void onEnd(ModelRequest request) {
    if (request.requestClass() == RequestClass.INTERACTIVE) {
      if (request.arrivedAtMs() >= WARM_UP_MS) {
        calls.add(request.durationMs());
      }
      return;
    }
    if (request.state() != ModelRequest.State.DONE
        || request.oldestVersion() < requiredVersion(request)) {
      thrownAway += request.tokensMade();
      ModelRequest again =
          new ModelRequest(
              request.id(),
              RequestClass.ROLLOUT,
              request.flow(),
              request.tokensToRead() - request.tokensMade(),
              request.prefixHash(),
              request.lengthTokens(),
              time.nowMs());
      held.addFirst(again);
    } else {
      delivered += request.tokensMade();
    }
  }

  private void plan() {
    if (kind != Kind.WAVES) {
      return;
    }
    List<WeightRollout.Engine> engines =
        pool.endpoints().stream()
            .map(e -> new WeightRollout.Engine(e.name(), true, e.inFlight().total(), true))
            .toList();
    WeightRollout.Situation situation =
        new WeightRollout.Situation(target, 1, ordersPerSecond, floorShare, engines);
    rollout.plan(situation, time.nowWholeMs()).forEach(this::carryOut);
    int inService = 0;
    boolean allProven = true;
    for (RolloutStatus status : rollout.statuses()) {
      pool.endpoint(status.endpoint()).inService(!status.outOfService());
      inService += status.outOfService() ? 0 : 1;
      allProven &= status.servedVersion() >= target;
    }
    fewestInService = Math.min(fewestInService, inService);
    if (!allProven && publishedAtMs > 0) {
      noteLoaded();
    }
  }

  private void carryOut(Command command) {
    String name = command.endpoint();
    ModelEndpoint endpoint = pool.endpoint(name);
    switch (command) {
      case Command.Read read ->
          time.after(
              CALL_MS,
              () ->
                  rollout.onRead(
                      name,
                      endpoint.engine().version(),
                      endpoint.engine().loading(),
                      time.nowWholeMs()));
      case Command.Probe probe ->
          time.after(
              PROBE_MS,
              () -> rollout.onProbed(name, endpoint.engine().version(), time.nowWholeMs()));
      case Command.Order order -> {
        endpoint.engine().load(order.version(), LOAD_MS, () -> {});
        time.after(CALL_MS, () -> rollout.onOrderSettled(name, time.nowWholeMs()));
      }
    }
  }

  Latencies calls() {
    return calls;
  }

  double slowestMs() {
    return slowestMs;
  }

  int fewestInService() {
    return fewestInService;
  }

  double thrownAwayShare() {
    return (double) thrownAway / Math.max(1, thrownAway + delivered);
  }

  long deliveredTokens() {
    return delivered;
  }
}
