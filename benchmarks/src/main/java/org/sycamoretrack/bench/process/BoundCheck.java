package org.sycamoretrack.bench.process;

import java.util.Locale;

/**
 * One measured value beside its baseline and its bound.
 *
 * @param metric the name of the measure
 * @param policy the name of the policy
 * @param value what was measured with the policy
 * @param baseline what was measured with the baseline, NaN without one
 * @param bound the bound of the value
 * @param met whether the value is within the bound
 * @param seed the seed of the run
 */
public record BoundCheck(
    String metric,
    String policy,
    double value,
    double baseline,
    double bound,
    boolean met,
    long seed) {
  /**
   * Returns a value that must not exceed a bound.
   *
   * @param measure the name of the measure
   * @param policy the name of the policy
   * @param value what was measured with the policy
   * @param baseline what was measured with the baseline, NaN without one
   * @param bound the largest value that is within
   * @param seed the seed of the run
   */
  public static BoundCheck atMost(
      String measure, String policy, double value, double baseline, double bound, long seed) {
    return new BoundCheck(measure, policy, value, baseline, bound, value <= bound, seed);
  }

  /**
   * Returns a value that must reach a bound.
   *
   * @param measure the name of the measure
   * @param policy the name of the policy
   * @param value what was measured with the policy
   * @param baseline what was measured with the baseline, NaN without one
   * @param bound the smallest value that is within
   * @param seed the seed of the run
   */
  public static BoundCheck atLeast(
      String measure, String policy, double value, double baseline, double bound, long seed) {
    return new BoundCheck(measure, policy, value, baseline, bound, value >= bound, seed);
  }

  /** Returns the line that programs read. */
  public String toJson() {
    return String.format(
        Locale.ROOT,
        "{\"measure\":\"%s\",\"policy\":\"%s\",\"value\":%s,\"baseline\":%s,\"bound\":%s,"
            + "\"met\":%b,\"seed\":%d}",
        metric,
        policy,
        number(value),
        number(baseline),
        number(bound),
        met,
        seed);
  }

  private static String number(double number) {
    return Double.isFinite(number) ? String.format(Locale.ROOT, "%.4f", number) : "null";
  }
}
