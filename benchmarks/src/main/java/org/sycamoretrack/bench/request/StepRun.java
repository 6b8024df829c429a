package org.sycamoretrack.bench.request;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.sycamoretrack.bench.connection.EngineProfile;
import org.sycamoretrack.bench.connection.ModelEndpoint;
import org.sycamoretrack.bench.connection.ModelPool;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.SlowMoments;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.Flow;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.StragglerPolicy;
import org.sycamoretrack.core.request.StragglerPolicy.Move;
import org.sycamoretrack.core.request.StragglerPolicy.RunningSample;
import org.sycamoretrack.core.request.StragglerPolicy.SpareEndpoint;
import org.sycamoretrack.core.request.StragglerPolicy.StepProgress;

/** One step of a trainer on modelled engines that are slow for moments, until it is whole. */
final class StepRun {
  private static final double DECIDE_INTERVAL_MS = 50;
  private static final double HORIZON_MS = 3_600_000;
  private static final double SLOW_FACTOR = 5;
  private static final double MEAN_MOMENT_MS = 4_000;
  private static final LimitSettings LIMITS = new LimitSettings(128, 4, 256, 3.0);
  private static final long WEIGHT_VERSION = 1;

  private final VirtualTime time = new VirtualTime();
  private final List<ModelRequest> samples = new ArrayList<>();
  private final long seed;
  private final int slots;
  private final StragglerPolicy policy;
  private final ModelPool pool;
  private int open;
  private long movedTokens;
  private double costTokens;
  private int moves;
  private RandomGenerator redraw;
  private double wholeAtMs;

  /**
   * Runs a step.
   *
   * @param seed the seed of lengths and slow moments
   * @param slots the samples of the step
   * @param meanGapMs the mean time between slow moments of an engine, 0 for none
   * @param policy decides on moves, null for none
   */
  StepRun(long seed, int slots, double meanGapMs, StragglerPolicy policy) {
    this.seed = seed;
    this.slots = slots;
    this.policy = policy;
    SplittableRandom random = new SplittableRandom(seed);
    Placement placement = new Placement.BySelector(new EndpointSelector(random.split()));
    this.pool =
        ModelPool.builder(placement)
            .limit(index -> ConcurrencyLimit.aimd(LIMITS))
            .slowMoments(index -> meanGapMs > 0 ? moments(index, meanGapMs) : SlowMoments.none())
            .viewIntervalMs(1)
            .build(time, this::onEnd);
  }

  private SlowMoments moments(int index, double meanGapMs) {
    SplittableRandom random = new SplittableRandom(seed * 31 + index);
    return SlowMoments.random(random, SLOW_FACTOR, meanGapMs, MEAN_MOMENT_MS, HORIZON_MS);
  }

  /** Lets engines go on with other tokens than the cancelled attempt would have made. */
  StepRun redrawAfterMoves(RandomGenerator random) {
    this.redraw = random;
    return this;
  }

  StepRun run() {
    Flow track = Flow.of("cut-patterns");
    open = slots;
    for (int slot = 0; slot < slots; slot++) {
      ModelRequest sample = Workload.sample(seed, slot, track, 0);
      samples.add(sample);
      // One sample each millisecond, as a node sends them, so that views follow.
      time.after(slot, () -> pool.submit(sample, Workload.MEAN_SAMPLE_TOKENS));
    }
    if (policy != null) {
      time.every(DECIDE_INTERVAL_MS, this::decide);
    }
    time.runWhile(() -> open > 0);
    return this;
  }

  double wholeAtMs() {
    return wholeAtMs;
  }

  double lowerBoundMs() {
    int[] lengths = samples.stream().mapToInt(ModelRequest::lengthTokens).toArray();
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
    return samples.stream().mapToInt(ModelRequest::moves).toArray();
  }

  /** Returns the lengths delivered, by slot. */
  int[] lengthsTokens() {
    return samples.stream().mapToInt(ModelRequest::tokensMade).toArray();
  }

  private void onEnd(ModelRequest sample) {
    open--;
    wholeAtMs = time.nowMs();
  }

  private void decide() {
    List<RunningSample> running = new ArrayList<>();
    List<SpareEndpoint> spares = new ArrayList<>();
    long nowMs = time.nowWholeMs();
    int queued = 0;
    for (ModelEndpoint endpoint : pool.endpoints()) {
      queued += endpoint.queued();
      double tokenMs = endpoint.stats().timePerTokenMs(nowMs);
      for (ModelRequest sample : endpoint.running()) {
        running.add(
            new RunningSample(
                sample.id(),
                endpoint.name(),
                sample.tokensMade(),
                Workload.MAX_SAMPLE_TOKENS,
                WEIGHT_VERSION,
                tokenMs));
      }
      int load = endpoint.inFlight().total();
      switch (endpoint.stats().ejection()) {
        case IN_USE ->
            spares.add(spare(endpoint, load, Math.max(0, endpoint.limit() - load), tokenMs));
        case PROBE_DUE -> spares.add(spare(endpoint, load, 1, tokenMs));
        default -> {}
      }
    }
    long made = samples.stream().mapToLong(ModelRequest::tokensMade).sum();
    policy
        .decide(new StepProgress(slots, running, queued, made, costTokens), spares)
        .forEach(this::move);
  }

  private static SpareEndpoint spare(
      ModelEndpoint endpoint, int load, int freeSlots, double tokenMs) {
    return new SpareEndpoint(endpoint.name(), load, freeSlots, WEIGHT_VERSION, tokenMs);
  }

  private void move(Move move) {
    moves++;
    movedTokens += move.fromToken();
    costTokens += StragglerPolicy.costTokens(move.fromToken());
    ModelRequest sample = samples.get(move.slot());
    if (redraw != null) {
      sample.lengthTokens(Workload.continuedTokens(redraw, sample.tokensMade()));
    }
    pool.move(sample, move.fromEndpoint(), move.toEndpoint(), Workload.MEAN_SAMPLE_TOKENS);
  }
}
