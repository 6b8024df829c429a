package org.sycamoretrack.core.request;

/**
 * Bounds of a {@link ConcurrencyLimit}.
 *
 * @param initial the limit before anything is measured
 * @param min the smallest limit, at least 1
 * @param max the largest limit
 * @param tolerance how much longer than without load a token may take, above 1
 */
public record LimitSettings(int initial, int min, int max, double tolerance) {
  /** Limits of a model engine unless set otherwise. */
  public static final LimitSettings DEFAULT = new LimitSettings(16, 2, 256, 2.0);

  /** Checks the parts. */
  public LimitSettings {
    if (min < 1 || initial < min || max < initial || !(tolerance > 1)) {
      throw new IllegalArgumentException(
          "need 1 <= min <= initial <= max and tolerance > 1: "
              + String.join(", ", "" + min, "" + initial, "" + max, "" + tolerance));
    }
  }

  /**
   * Returns the nearest limit within the bounds.
   *
   * @param limit any limit
   */
  double clamp(double limit) {
    return Math.max(min, Math.min(max, limit));
  }
}
