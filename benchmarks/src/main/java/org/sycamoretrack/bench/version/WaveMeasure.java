package org.sycamoretrack.bench.version;

import java.util.Locale;
import org.sycamoretrack.bench.process.Bound;
import org.sycamoretrack.bench.process.Measure;
import org.sycamoretrack.bench.process.Report;

/**
 * New weights for 8 engines: the time until all serve them against the limit that the weight
 * store's rate sets, the p99 of short calls meanwhile, and the tokens thrown away as too old.
 */
public final class WaveMeasure implements Measure {
  private static final double LOADS_PER_S = 2;
  private static final double FLOOR_SHARE = 0.5;
  private static final int ENGINES = 8;
  private static final double LOAD_MS = 4_000;
  private static final double BOUND_P99_RATIO = 1.5;
  private static final double BOUND_THROWN_SHARE = 0.02;

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public Report run(long seed) {
    WaveRun none = new WaveRun(seed, WaveRun.Kind.NONE, LOADS_PER_S, FLOOR_SHARE).run();
    WaveRun once = new WaveRun(seed, WaveRun.Kind.ALL_AT_ONCE, LOADS_PER_S, FLOOR_SHARE).run();
    WaveRun waves = new WaveRun(seed, WaveRun.Kind.WAVES, LOADS_PER_S, FLOOR_SHARE).run();
    Report report =
        new Report(
            "New weights three times, 8 engines, loads of 4 s, 2 loads/s, floor 0.5, seed " + seed,
            "run",
            "slowest s",
            "fewest in service",
            "short p50 ms",
            "short p99 ms",
            "p99 / no new weights",
            "thrown away %",
            "tokens delivered");
    row(report, "no new weights", none, none);
    row(report, "all at once, no hold-back (ignores the rate)", once, none);
    row(report, "waves, samples held back", waves, none);
    double limitMs = Math.max(ENGINES / LOADS_PER_S * 1_000, LOAD_MS / (1 - FLOOR_SHARE));
    report.bound(
        Bound.atMost(
            "waves.p99-ratio",
            "waves",
            ratio(waves, none),
            ratio(once, none),
            BOUND_P99_RATIO,
            seed));
    report.bound(
        Bound.atMost(
            "waves.thrown-away-share",
            "waves",
            waves.thrownAwayShare(),
            once.thrownAwayShare(),
            BOUND_THROWN_SHARE,
            seed));
    report.bound(
        Bound.atLeast(
            "waves.fewest-in-service",
            "waves",
            waves.fewestInService(),
            Double.NaN,
            FLOOR_SHARE * ENGINES,
            seed));
    report.row(
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

  private static double ratio(WaveRun run, WaveRun none) {
    return run.calls().percentileMs(99) / none.calls().percentileMs(99);
  }

  private static void row(Report report, String name, WaveRun run, WaveRun none) {
    report.row(
        name,
        format("%.1f", run.slowestMs() / 1_000),
        run.fewestInService() == Integer.MAX_VALUE ? "-" : "" + run.fewestInService(),
        run.calls().cell(50),
        run.calls().cell(99),
        format("%.2f", ratio(run, none)),
        format("%.2f", 100 * run.thrownAwayShare()),
        "" + run.deliveredTokens());
  }

  private static String format(String pattern, double value) {
    return String.format(Locale.ROOT, pattern, value);
  }
}
