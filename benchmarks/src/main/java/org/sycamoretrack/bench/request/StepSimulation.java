package org.sycamoretrack.bench.request;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.sycamoretrack.bench.connection.EngineProfile;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.SimulatedEndpoint;
import org.sycamoretrack.bench.connection.SimulatedPool;
import org.sycamoretrack.bench.connection.SlowdownSchedule;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.core.request.StragglerPolicy;
import org.sycamoretrack.core.request.StragglerPolicy.EndpointStatus;
import org.sycamoretrack.core.request.StragglerPolicy.Move;
import org.sycamoretrack.core.request.StragglerPolicy.RunningSample;
import org.sycamoretrack.core.request.StragglerPolicy.StepProgress;

/** Simulates one step of a trainer on engines with temporary slowdowns, until it is complete. */
final class StepSimulation {
  private static final double DECIDE_INTERVAL_MS = 50;
  private static final double HORIZON_MS = 3_600_000;
  private static final double SLOW_FACTOR = 5;
  private static final double MEAN_SLOWDOWN_MS = 4_000;
  private static final LimitSettings LIMITS = new LimitSettings(128, 4, 256, 3.0);
  private static final long WEIGHT_VERSION = 1;

  private final VirtualTime time = new VirtualTime();
  private final List<SimulatedRequest> samples = new ArrayList<>();
  private final long seed;
  private final int slots;
  private final StragglerPolicy policy;
  private final SimulatedPool pool;
  private int openSamples;
  private long movedTokens;
  private double costTokens;
  private int moves;
  private RandomGenerator redraw;
  private double completedAtMs;

  /**
   * Creates a simulation of a step.
   *
   * @param seed the seed of sample lengths and slowdowns
   * @param slots the samples of the step
   * @param meanGapMs the mean time between slowdowns of an engine, 0 for none
   * @param policy selects the samples to move, null for no moves
   */
  StepSimulation(long seed, int slots, double meanGapMs, StragglerPolicy policy) {
    this.seed = seed;
    this.slots = slots;
    this.policy = policy;
    SplittableRandom random = new SplittableRandom(seed);
    Placement placement = new Placement.BySelector(new EndpointSelector(random.split()));
    this.pool =
        SimulatedPool.builder(placement)
            .limit(index -> ConcurrencyLimit.aimd(LIMITS))
            .slowdowns(
                index -> meanGapMs > 0 ? slowdowns(index, meanGapMs) : SlowdownSchedule.none())
            .viewIntervalMs(1)
            .build(time, this::onEnd);
  }

  private SlowdownSchedule slowdowns(int index, double meanGapMs) {
    SplittableRandom random = new SplittableRandom(seed * 31 + index);
    return SlowdownSchedule.random(random, SLOW_FACTOR, meanGapMs, MEAN_SLOWDOWN_MS, HORIZON_MS);
  }

  /**
   * Lets engines continue a moved sample with different tokens than the cancelled attempt would
   * have generated.
   */
  StepSimulation redrawAfterMoves(RandomGenerator random) {
    this.redraw = random;
    return this;
  }

  StepSimulation run() {
    QueueFlow track = QueueFlow.of("cut-patterns");
    openSamples = slots;
    for (int slot = 0; slot < slots; slot++) {
      SimulatedRequest sample = Workload.sample(seed, slot, track, 0);
      samples.add(sample);
      // Nodes also send one sample per millisecond, so that the endpoint views keep up.
      time.after(slot, () -> pool.submit(sample, Workload.MEAN_SAMPLE_TOKENS));
    }
    if (policy != null) {
      time.every(DECIDE_INTERVAL_MS, this::moveStragglers);
    }
    time.runWhile(() -> openSamples > 0);
    return this;
  }

  double completedAtMs() {
    return completedAtMs;
  }

  double lowerBoundMs() {
    int[] lengths = samples.stream().mapToInt(SimulatedRequest::outputTokens).toArray();
    return StepLowerBound.ms(lengths, pool.endpoints().size(), EngineProfile.DEFAULT);
  }

  int moves() {
    return moves;
  }

  double costTokens() {
    return costTokens;
  }

  long movedTokens() {
    return movedTokens;
  }

  /** Returns how often each sample was moved, by slot. */
  int[] movesBySlot() {
    return samples.stream().mapToInt(SimulatedRequest::moves).toArray();
  }

  /** Returns the generated tokens of each sample, by slot. */
  int[] sampleLengths() {
    return samples.stream().mapToInt(SimulatedRequest::generatedTokens).toArray();
  }

  private void onEnd(SimulatedRequest sample) {
    openSamples--;
    completedAtMs = time.nowMs();
  }

  private void moveStragglers() {
    List<RunningSample> running = new ArrayList<>();
    List<EndpointStatus> endpointStatuses = new ArrayList<>();
    long nowMs = time.nowWholeMs();
    int queued = 0;
    for (SimulatedEndpoint endpoint : pool.endpoints()) {
      queued += endpoint.queued();
      double timePerTokenMs = endpoint.stats().timePerTokenMs(nowMs);
      for (SimulatedRequest sample : endpoint.running()) {
        running.add(
            new RunningSample(
                sample.id(),
                endpoint.name(),
                sample.generatedTokens(),
                Workload.MAX_SAMPLE_TOKENS,
                WEIGHT_VERSION,
                timePerTokenMs));
      }
      int load = endpoint.inFlight().total();
      switch (endpoint.stats().ejection()) {
        case IN_USE ->
            endpointStatuses.add(
                endpointStatus(
                    endpoint, load, Math.max(0, endpoint.limit() - load), timePerTokenMs));
        case PROBE_DUE -> endpointStatuses.add(endpointStatus(endpoint, load, 1, timePerTokenMs));
        default -> {}
      }
    }
    long generated = samples.stream().mapToLong(SimulatedRequest::generatedTokens).sum();
    policy
        .selectMoves(
            new StepProgress(slots, running, queued, generated, costTokens), endpointStatuses)
        .forEach(this::move);
  }

  private static EndpointStatus endpointStatus(
      SimulatedEndpoint endpoint, int load, int freeSlots, double timePerTokenMs) {
    return new EndpointStatus(endpoint.name(), load, freeSlots, WEIGHT_VERSION, timePerTokenMs);
  }

  private void move(Move move) {
    moves++;
    movedTokens += move.fromToken();
    costTokens += StragglerPolicy.costTokens(move.fromToken());
    SimulatedRequest sample = samples.get(move.slot());
    if (redraw != null) {
      sample.outputTokens(Workload.redrawTokens(redraw, sample.generatedTokens()));
    }
    pool.move(sample, move.fromEndpoint(), move.toEndpoint(), Workload.MEAN_SAMPLE_TOKENS);
  }
}
