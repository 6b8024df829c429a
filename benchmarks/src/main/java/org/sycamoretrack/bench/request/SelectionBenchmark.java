package org.sycamoretrack.bench.request;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.sycamoretrack.bench.connection.Placement;
import org.sycamoretrack.bench.connection.SimulatedEndpoint;
import org.sycamoretrack.bench.connection.SimulatedPool;
import org.sycamoretrack.bench.connection.SlowdownSchedule;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.bench.process.Benchmark;
import org.sycamoretrack.bench.process.BoundCheck;
import org.sycamoretrack.bench.process.Report;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.LimitSettings;

/**
 * Compares endpoint selection while one of eight engines is temporarily 5 times slower: the p99
 * latency of calls relative to the p99 without slowdowns, with the policy and with common
 * strategies.
 */
public final class SelectionBenchmark implements Benchmark {
  private static final double BOUND_RATIO = 1.5;
  private static final double CALLS_PER_S = 100;
  private static final int PREFIXES = 120;
  private static final double WARM_UP_MS = 20_000;
  private static final double END_MS = 320_000;
  private static final int SLOW_ENGINE = 3;
  private static final double SLOW_FACTOR = 5;
  private static final double MEAN_GAP_MS = 6_000;
  private static final double MEAN_SLOWDOWN_MS = 4_000;
  private static final LimitSettings LIMITS = new LimitSettings(32, 4, 256, 2.0);

  @Override
  public String name() {
    return "selection";
  }

  @Override
  public Report run(long seed) {
    Report report =
        new Report(
            "One of 8 engines 5 times slower for moments, "
                + CALLS_PER_S
                + " calls/s, seed "
                + seed,
            "choice",
            "undisturbed p99 ms",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "p99 / undisturbed of selector",
            "prefill tokens/call");
    Supplier<Placement> selector =
        () -> new Placement.BySelector(new EndpointSelector(new SplittableRandom(seed + 2)));
    double undisturbedMs = new Run(seed, selector.get(), true, false).calls.percentileMs(99);
    Map<String, Supplier<Placement>> baselines = new LinkedHashMap<>();
    SplittableRandom random = new SplittableRandom(seed + 3);
    baselines.put("round robin", Placement.RoundRobin::new);
    baselines.put("fewest in flight", () -> new Placement.FewestInFlight(random));
    baselines.put("smallest reported load", () -> new Placement.SmallestReportedLoad(random));
    double bestRatio = Double.MAX_VALUE;
    for (Map.Entry<String, Supplier<Placement>> baseline : baselines.entrySet()) {
      double p99Ms = compare(report, baseline.getKey(), seed, baseline.getValue(), undisturbedMs);
      bestRatio = Math.min(bestRatio, p99Ms / undisturbedMs);
    }
    double policyRatio = compare(report, "selector", seed, selector, undisturbedMs) / undisturbedMs;
    report.addBoundCheck(
        BoundCheck.atMost(
            "selection.p99-ratio", "selector", policyRatio, bestRatio, BOUND_RATIO, seed));
    return report;
  }

  private static double compare(
      Report report, String name, long seed, Supplier<Placement> placement, double undisturbedMs) {
    boolean limited = placement.get() instanceof Placement.BySelector;
    Run undisturbed = new Run(seed, placement.get(), limited, false);
    Run disturbed = new Run(seed, placement.get(), limited, true);
    double p99Ms = disturbed.calls.percentileMs(99);
    report.addRow(
        name,
        undisturbed.calls.formatPercentile(99),
        disturbed.calls.formatPercentile(50),
        disturbed.calls.formatPercentile(99),
        disturbed.calls.formatPercentile(99.9),
        String.format(Locale.ROOT, "%.2f", p99Ms / undisturbedMs),
        String.format(Locale.ROOT, "%.0f", disturbed.prefillTokensPerCall()));
    return p99Ms;
  }

  /** One run and its counts. */
  private static final class Run {
    final VirtualTime time = new VirtualTime();
    final LatencyHistogram calls = new LatencyHistogram();
    final SimulatedPool pool;
    private long ended;

    Run(long seed, Placement placement, boolean limited, boolean disturbed) {
      SimulatedPool.Builder builder = SimulatedPool.builder(placement);
      if (limited) {
        builder.limit(index -> ConcurrencyLimit.aimd(LIMITS));
      }
      if (disturbed) {
        builder.slowdowns(
            index -> index == SLOW_ENGINE ? slowdowns(seed) : SlowdownSchedule.none());
      }
      pool = builder.build(time, this::onEnd);
      Workload.scheduleShortCalls(
          time,
          new SplittableRandom(seed + 1),
          CALLS_PER_S,
          PREFIXES,
          call -> pool.submit(call, Workload.MEAN_SHORT_TOKENS));
      time.runUntil(END_MS);
    }

    private static SlowdownSchedule slowdowns(long seed) {
      return SlowdownSchedule.random(
          new SplittableRandom(seed), SLOW_FACTOR, MEAN_GAP_MS, MEAN_SLOWDOWN_MS, END_MS);
    }

    private void onEnd(SimulatedRequest call) {
      ended++;
      if (call.arrivedAtMs() >= WARM_UP_MS) {
        calls.add(call.durationMs());
      }
    }

    double prefillTokensPerCall() {
      long prefilled = 0;
      for (SimulatedEndpoint endpoint : pool.endpoints()) {
        prefilled += endpoint.engine().prefilledTokens();
      }
      return (double) prefilled / ended;
    }
  }
}
