package org.sycamoretrack.bench.request;

import java.util.Locale;
import org.sycamoretrack.bench.process.Bound;
import org.sycamoretrack.bench.process.Measure;
import org.sycamoretrack.bench.process.Report;
import org.sycamoretrack.core.request.StragglerPolicy;

/**
 * Time until a step of 512 samples is whole on 8 engines that are slow for moments, against the
 * lower bound, with and without moves of late samples.
 */
public final class StragglerMeasure implements Measure {
  private static final int SLOTS = 512;
  private static final int STEPS = 20;
  private static final double BOUND_RATIO = 1.15;

  @Override
  public String name() {
    return "stragglers";
  }

  @Override
  public Report run(long seed) {
    Totals undisturbed = run(seed, false, null);
    Totals baseline = run(seed, true, null);
    Totals policy = run(seed, true, new StragglerPolicy());
    Report report =
        new Report(
            STEPS
                + " steps of "
                + SLOTS
                + " samples, 8 engines, 5 times slower for moments, seed "
                + seed,
            "run",
            "mean s",
            "worst / bound",
            "mean / bound",
            "trainer idle s",
            "moves",
            "re-read %",
            "extra made %");
    undisturbed.row(report, "undisturbed, no moves");
    baseline.row(report, "no moves");
    policy.row(report, "moves in the tail");
    report.bound(
        Bound.atMost(
            "stragglers.step-time-ratio",
            "move",
            policy.meanRatio(),
            baseline.meanRatio(),
            BOUND_RATIO,
            seed));
    report.bound(
        Bound.atMost(
            "stragglers.extra-tokens-share",
            "move",
            policy.rereadShare(),
            0,
            StragglerPolicy.DEFAULT_BUDGET_SHARE,
            seed));
    return report;
  }

  private static Totals run(long seed, boolean disturbed, StragglerPolicy policy) {
    Totals totals = new Totals();
    for (int step = 0; step < STEPS; step++) {
      totals.add(new StepRun(seed * 1_000 + step, SLOTS, disturbed, policy).run());
    }
    return totals;
  }

  /** Sums over the steps of a run. */
  private static final class Totals {
    private double wholeMs;
    private double ratios;
    private double worstRatio;
    private long moves;
    private long movedTokens;
    private long tokens;

    void add(StepRun step) {
      double ratio = step.wholeAtMs() / step.lowerBoundMs();
      wholeMs += step.wholeAtMs();
      ratios += ratio;
      worstRatio = Math.max(worstRatio, ratio);
      moves += step.moves();
      movedTokens += step.movedTokens();
      for (int length : step.lengthsTokens()) {
        tokens += length;
      }
    }

    double meanRatio() {
      return ratios / STEPS;
    }

    double rereadShare() {
      return (double) movedTokens / tokens;
    }

    void row(Report report, String name) {
      report.row(
          name,
          format("%.1f", wholeMs / STEPS / 1_000),
          format("%.3f", worstRatio),
          format("%.3f", meanRatio()),
          format("%.1f", wholeMs / STEPS / 1_000),
          "" + moves,
          format("%.2f", 100 * rereadShare()),
          "0.00");
    }

    private static String format(String pattern, double value) {
      return String.format(Locale.ROOT, pattern, value);
    }
  }
}
