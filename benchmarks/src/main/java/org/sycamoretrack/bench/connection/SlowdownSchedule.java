package org.sycamoretrack.bench.connection;

import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** When and how much an engine is slowed by other load on its host that nodes cannot see. */
public final class SlowdownSchedule {
  private final TreeMap<Double, Double> factorFromMs = new TreeMap<>();

  private SlowdownSchedule() {}

  /** Returns a schedule without slowdowns. */
  public static SlowdownSchedule none() {
    return new SlowdownSchedule();
  }

  /**
   * Returns a schedule of slowdowns of random length with random gaps between them.
   *
   * @param random the random number generator
   * @param factor how many times longer a step takes during a slowdown
   * @param meanGapMs the mean time between slowdowns
   * @param meanLengthMs the mean length of a slowdown
   * @param endMs the end of the schedule
   */
  public static SlowdownSchedule random(
      RandomGenerator random, double factor, double meanGapMs, double meanLengthMs, double endMs) {
    SlowdownSchedule schedule = new SlowdownSchedule();
    double atMs = random.nextExponential() * meanGapMs;
    while (atMs < endMs) {
      double lengthMs = meanLengthMs * random.nextDouble(0.5, 1.5);
      schedule.factorFromMs.put(atMs, factor);
      schedule.factorFromMs.put(atMs + lengthMs, 1.0);
      atMs += lengthMs + random.nextExponential() * meanGapMs;
    }
    return schedule;
  }

  /**
   * Returns how many times slower a step is.
   *
   * @param nowMs when the step begins
   */
  public double factorAt(double nowMs) {
    var entry = factorFromMs.floorEntry(nowMs);
    return entry == null ? 1.0 : entry.getValue();
  }
}
