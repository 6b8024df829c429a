package org.sycamoretrack.bench.request;

import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.SimulatedPool;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.bench.process.Benchmark;
import org.sycamoretrack.bench.process.BoundCheck;
import org.sycamoretrack.bench.process.Report;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.core.request.RequestClass;

/**
 * Compares the p99 latency of short calls under a saturating load of long requests with their p99
 * latency alone: with the queues and limits of the policy, and first come, first served without
 * limits.
 */
public final class AdmissionBenchmark implements Benchmark {
  private static final double BOUND_RATIO = 1.5;
  private static final double SHORT_CALLS_PER_S = 8;
  private static final int OUTSTANDING_SAMPLES = 2_400;
  private static final int TRACKS = 5;
  private static final double WARM_UP_MS = 60_000;
  private static final double END_MS = 300_000;
  private static final LimitSettings LIMITS = new LimitSettings(16, 4, 256, 1.4);

  @Override
  public String name() {
    return "admission";
  }

  @Override
  public Report run(long seed) {
    Run alone = run(seed, index -> ConcurrencyLimit.aimd(LIMITS), false);
    Run baseline = run(seed, null, true);
    Report report =
        new Report(
            "Short calls beside saturating long work, 8 engines, seed " + seed,
            "run",
            "calls",
            "p50 ms",
            "p99 ms",
            "p99 / alone",
            "long tokens/s");
    addRow(report, "short calls alone", alone, alone);
    addRow(report, "first come, first served, no limit", baseline, alone);
    for (String variant : new String[] {"aimd", "gradient"}) {
      Run policy = run(seed, limits(variant), true);
      addRow(report, "queue and " + variant + " limit", policy, alone);
      report.addBoundCheck(
          BoundCheck.atMost(
              "admission.short-p99-ratio",
              variant,
              policy.ratio(alone),
              baseline.ratio(alone),
              BOUND_RATIO,
              seed));
    }
    return report;
  }

  private static Function<Integer, ConcurrencyLimit> limits(String variant) {
    return variant.equals("aimd")
        ? index -> ConcurrencyLimit.aimd(LIMITS)
        : index -> ConcurrencyLimit.gradient(LIMITS);
  }

  private static void addRow(Report report, String name, Run run, Run alone) {
    report.addRow(
        name,
        "" + run.shortCalls.count(),
        run.shortCalls.formatPercentile(50),
        run.shortCalls.formatPercentile(99),
        String.format(Locale.ROOT, "%.2f", run.ratio(alone)),
        String.format(Locale.ROOT, "%.0f", run.longTokens / ((END_MS - WARM_UP_MS) / 1_000)));
  }

  private static Run run(
      long seed, Function<Integer, ConcurrencyLimit> limit, boolean withLongWork) {
    SplittableRandom random = new SplittableRandom(seed);
    Run run = new Run(seed);
    Placement placement =
        limit == null
            ? new Placement.FewestInFlight(random.split())
            : new Placement.BySelector(new EndpointSelector(random.split()));
    SimulatedPool.Builder builder = SimulatedPool.builder(placement);
    if (limit != null) {
      builder.limit(limit);
    }
    run.pool = builder.build(run.time, run::onEnd);
    SplittableRandom arrivals = new SplittableRandom(seed + 1);
    Workload.scheduleShortCalls(
        run.time,
        arrivals,
        SHORT_CALLS_PER_S,
        0,
        call -> run.pool.submit(call, Workload.MEAN_SHORT_TOKENS));
    if (withLongWork) {
      run.time.after(0, run::startLongWork);
    }
    run.time.runUntil(END_MS);
    return run;
  }

  /** One run and its counts. */
  private static final class Run {
    final VirtualTime time = new VirtualTime();
    final LatencyHistogram shortCalls = new LatencyHistogram();
    final long seed;
    SimulatedPool pool;
    int nextSlot;
    long longTokens;

    Run(long seed) {
      this.seed = seed;
    }

    void startLongWork() {
      for (int i = 0; i < OUTSTANDING_SAMPLES; i++) {
        submitSample();
      }
    }

    void submitSample() {
      int slot = nextSlot++;
      QueueFlow track = QueueFlow.of("track-" + slot % TRACKS);
      pool.submit(Workload.sample(seed, slot, track, time.nowMs()), Workload.MEAN_SAMPLE_TOKENS);
    }

    void onEnd(SimulatedRequest request) {
      boolean counted = request.arrivedAtMs() >= WARM_UP_MS;
      if (request.requestClass() == RequestClass.INTERACTIVE) {
        if (counted) {
          shortCalls.add(request.durationMs());
        }
      } else {
        longTokens += time.nowMs() >= WARM_UP_MS ? request.generatedTokens() : 0;
        time.after(0, this::submitSample);
      }
    }

    double ratio(Run alone) {
      return shortCalls.percentileMs(99) / alone.shortCalls.percentileMs(99);
    }
  }
}
