package org.sycamoretrack.bench.process;

import java.util.Locale;

/**
 * A measured value, its baseline and the bound that it is checked against.
 *
 * @param metric the name of the metric, written as {@code measure}
 * @param policy the name of the policy
 * @param value the value measured with the policy
 * @param baseline the value measured with the baseline, NaN without one
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
   * Checks that a value does not exceed a bound.
   *
   * @param metric the name of the metric
   * @param policy the name of the policy
   * @param value the value measured with the policy
   * @param baseline the value measured with the baseline, NaN without one
   * @param bound the largest allowed value
   * @param seed the seed of the run
   */
  public static BoundCheck atMost(
      String metric, String policy, double value, double baseline, double bound, long seed) {
    return new BoundCheck(metric, policy, value, baseline, bound, value <= bound, seed);
  }

  /**
   * Checks that a value reaches a bound.
   *
   * @param metric the name of the metric
   * @param policy the name of the policy
   * @param value the value measured with the policy
   * @param baseline the value measured with the baseline, NaN without one
   * @param bound the smallest allowed value
   * @param seed the seed of the run
   */
  public static BoundCheck atLeast(
      String metric, String policy, double value, double baseline, double bound, long seed) {
    return new BoundCheck(metric, policy, value, baseline, bound, value >= bound, seed);
  }

  /** Returns the check as a line of JSON. */
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
