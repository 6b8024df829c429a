package org.sycamoretrack.bench.request;

import java.util.Locale;
import org.sycamoretrack.bench.process.Benchmark;
import org.sycamoretrack.bench.process.BoundCheck;
import org.sycamoretrack.bench.process.Report;
import org.sycamoretrack.core.request.StragglerPolicy;

/**
 * Compares the time to complete a step of 512 samples on 8 engines with temporary slowdowns with
 * its lower bound, with and without moving stragglers. A trainer that trains for a minute per step
 * while the next step is generated is idle for the rest.
 */
public final class StragglerBenchmark implements Benchmark {
  private static final double MEAN_GAP_MS = 60_000;
  private static final double SHORT_GAP_MS = 20_000;
  private static final double TRAINING_MS = 60_000;
  private static final int SLOTS = 512;
  private static final int STEPS = 20;
  private static final double BOUND_RATIO = 1.15;

  @Override
  public String name() {
    return "stragglers";
  }

  @Override
  public Report run(long seed) {
    Totals undisturbed = run(seed, 0, null);
    Totals baseline = run(seed, MEAN_GAP_MS, null);
    Totals policy = run(seed, MEAN_GAP_MS, new StragglerPolicy());
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
            "repeated prefill %",
            "cost %");
    undisturbed.addRow(report, "undisturbed, no moves");
    baseline.addRow(report, "no moves");
    policy.addRow(report, "moves");
    run(seed, SHORT_GAP_MS, null).addRow(report, "no moves, slow a sixth of the time");
    run(seed, SHORT_GAP_MS, new StragglerPolicy())
        .addRow(report, "moves, slow a sixth of the time");
    report.addBoundCheck(
        BoundCheck.atMost(
            "stragglers.step-time-ratio",
            "move",
            policy.meanRatio(),
            baseline.meanRatio(),
            BOUND_RATIO,
            seed));
    report.addBoundCheck(
        BoundCheck.atMost(
            "stragglers.extra-tokens-share",
            "move",
            policy.costShare(),
            0,
            StragglerPolicy.DEFAULT_BUDGET_SHARE,
            seed));
    return report;
  }

  private static Totals run(long seed, double meanGapMs, StragglerPolicy policy) {
    Totals totals = new Totals();
    for (int step = 0; step < STEPS; step++) {
      totals.add(new StepSimulation(seed * 1_000 + step, SLOTS, meanGapMs, policy).run());
    }
    return totals;
  }

  /** Sums over the steps of a run. */
  private static final class Totals {
    private double completionMs;
    private double ratioSum;
    private double idleMs;
    private double worstRatio;
    private long moves;
    private long movedTokens;
    private double costTokens;
    private long tokens;

    void add(StepSimulation step) {
      double ratio = step.completedAtMs() / step.lowerBoundMs();
      completionMs += step.completedAtMs();
      idleMs += Math.max(0, step.completedAtMs() - TRAINING_MS);
      ratioSum += ratio;
      worstRatio = Math.max(worstRatio, ratio);
      moves += step.moves();
      movedTokens += step.movedTokens();
      costTokens += step.costTokens();
      for (int length : step.sampleLengths()) {
        tokens += length;
      }
    }

    double meanRatio() {
      return ratioSum / STEPS;
    }

    double costShare() {
      return costTokens / tokens;
    }

    double repeatedPrefillShare() {
      return (double) movedTokens / tokens;
    }

    void addRow(Report report, String name) {
      report.addRow(
          name,
          format("%.1f", completionMs / STEPS / 1_000),
          format("%.3f", worstRatio),
          format("%.3f", meanRatio()),
          format("%.1f", idleMs / STEPS / 1_000),
          "" + moves,
          format("%.2f", 100 * repeatedPrefillShare()),
          format("%.2f", 100 * costShare()));
    }

    private static String format(String pattern, double value) {
      return String.format(Locale.ROOT, pattern, value);
    }
  }
}
