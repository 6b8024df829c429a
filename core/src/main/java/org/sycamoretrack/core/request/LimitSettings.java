package org.sycamoretrack.core.request;

/**
 * The settings of a {@link ConcurrencyLimit}.
 *
 * @param initial the limit before the first measurement
 * @param min the smallest limit, at least 1
 * @param max the largest limit
 * @param tolerance the accepted ratio of the time per token to the baseline without load, above 1
 */
public record LimitSettings(int initial, int min, int max, double tolerance) {
  /** The default settings for a model engine. */
  public static final LimitSettings DEFAULT = new LimitSettings(16, 2, 256, 2.0);

  /** Checks the order of the bounds and the tolerance. */
  public LimitSettings {
    if (min < 1 || initial < min || max < initial || !(tolerance > 1)) {
      throw new IllegalArgumentException(
          "concurrency limit requires 1 <= min <= initial <= max and tolerance > 1: "
              + String.join(", ", "" + min, "" + initial, "" + max, "" + tolerance));
    }
  }

  /**
   * Clamps a limit to the range from {@code min} to {@code max}.
   *
   * @param limit the unclamped limit
   */
  double clamp(double limit) {
    return Math.max(min, Math.min(max, limit));
  }
}
