package org.sycamoretrack.bench.version;

import java.util.Locale;
import org.sycamoretrack.bench.process.Benchmark;
import org.sycamoretrack.bench.process.BoundCheck;
import org.sycamoretrack.bench.process.Report;

/**
 * Measures rollouts of new weights to 8 engines: the time until all serve them compared with the
 * limit set by the rate of the weight store, the p99 latency of short calls meanwhile, and the
 * tokens discarded as stale.
 */
public final class WaveBenchmark implements Benchmark {
  private static final double LOADS_PER_S = 2;
  private static final double FLOOR_SHARE = 0.5;
  private static final int ENGINES = 8;
  private static final double LOAD_MS = 4_000;
  private static final double BOUND_P99_RATIO = 1.5;
  private static final double BOUND_DISCARDED_SHARE = 0.02;

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public Report run(long seed) {
    WaveSimulation noRollout =
        new WaveSimulation(seed, WaveSimulation.Strategy.NONE, LOADS_PER_S, FLOOR_SHARE).run();
    WaveSimulation allAtOnce =
        new WaveSimulation(seed, WaveSimulation.Strategy.ALL_AT_ONCE, LOADS_PER_S, FLOOR_SHARE)
            .run();
    WaveSimulation waves =
        new WaveSimulation(seed, WaveSimulation.Strategy.WAVES, LOADS_PER_S, FLOOR_SHARE).run();
    Report report =
        new Report(
            "Three rollouts of new weights, 8 engines, loads of 4 s, 2 loads/s, floor 0.5, seed "
                + seed,
            "run",
            "slowest s",
            "fewest in service",
            "short p50 ms",
            "short p99 ms",
            "p99 / no new weights",
            "discarded %",
            "tokens delivered");
    addRow(report, "no new weights", noRollout, noRollout);
    addRow(report, "all at once, no hold-back (ignores the rate)", allAtOnce, noRollout);
    addRow(report, "waves, samples held back", waves, noRollout);
    double limitMs = Math.max(ENGINES / LOADS_PER_S * 1_000, LOAD_MS / (1 - FLOOR_SHARE));
    report.addBoundCheck(
        BoundCheck.atMost(
            "waves.p99-ratio",
            "waves",
            ratio(waves, noRollout),
            ratio(allAtOnce, noRollout),
            BOUND_P99_RATIO,
            seed));
    report.addBoundCheck(
        BoundCheck.atMost(
            "waves.thrown-away-share",
            "waves",
            waves.discardedShare(),
            allAtOnce.discardedShare(),
            BOUND_DISCARDED_SHARE,
            seed));
    report.addBoundCheck(
        BoundCheck.atLeast(
            "waves.fewest-in-service",
            "waves",
            waves.fewestInService(),
            Double.NaN,
            FLOOR_SHARE * ENGINES,
            seed));
    report.addRow(
        "limit of the store's rate and the floor",
        format("%.1f", limitMs / 1_000),
        "4",
        "-",
        "-",
        "-",
        "-",
        "-");
    return report;
  }

  private static double ratio(WaveSimulation run, WaveSimulation noRollout) {
    return run.calls().percentileMs(99) / noRollout.calls().percentileMs(99);
  }

  private static void addRow(
      Report report, String name, WaveSimulation run, WaveSimulation noRollout) {
    report.addRow(
        name,
        format("%.1f", run.slowestRolloutMs() / 1_000),
        run.fewestInService() == Integer.MAX_VALUE ? "-" : "" + run.fewestInService(),
        run.calls().formatPercentile(50),
        run.calls().formatPercentile(99),
        format("%.2f", ratio(run, noRollout)),
        format("%.2f", 100 * run.discardedShare()),
        "" + run.deliveredTokens());
  }

  private static String format(String pattern, double value) {
    return String.format(Locale.ROOT, pattern, value);
  }
}
