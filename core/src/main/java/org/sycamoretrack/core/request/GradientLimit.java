package org.sycamoretrack.core.request;

/**
 * A limit that follows the ratio of the time for a token without load to the time under load.
 *
 * <p>After each window the limit moves towards {@code limit * gradient + sqrt(limit)}, where the
 * gradient is {@code tolerance / slowdown}, kept between 0.5 and 1. The square root is the room to
 * grow; it is added only when the limit was used and the slowdown is within the tolerance, so that
 * a limit on an endpoint that stays slow falls to its minimum, where the time without load is
 * learned anew.
 *
 * <p>Example: limit 36, tolerance 1.5. A window with slowdown 1.5 or less aims at 42; one with
 * slowdown 3 aims at 24. The limit goes a fifth of the way.
 */
final class GradientLimit extends WindowedLimit {
  private static final double SMOOTHING = 0.2;
  private static final double MIN_GRADIENT = 0.5;

  GradientLimit(LimitSettings settings) {
    super(settings);
  }

  @Override
  double nextLimit(double before, double slowdown, double tolerance, boolean used) {
    double gradient = Math.max(MIN_GRADIENT, Math.min(1, tolerance / slowdown));
    boolean grow = gradient == 1 && used;
    double target = before * gradient + (grow ? Math.sqrt(before) : 0);
    return before + SMOOTHING * (target - before);
  }
}
