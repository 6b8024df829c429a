package org.sycamoretrack.core.request;

/**
 * A limit that follows the gradient, that is, the ratio of the baseline time per token to the time
 * per token under load.
 *
 * <p>After each window the limit moves towards {@code limit * gradient + sqrt(limit)}, where the
 * gradient is {@code tolerance / slowdown}, clamped to the range 0.5 to 1. The square root is the
 * headroom for growth. It is added only when the limit was utilized and the slowdown is within the
 * tolerance. The limit of an endpoint that stays slow therefore falls to its minimum, where the
 * baseline is measured again.
 *
 * <p>Example: limit 36, tolerance 1.5. A window with slowdown 1.5 or less has target 42; one with
 * slowdown 3 has target 24. Each window moves the limit a fifth of the way to its target.
 */
final class GradientLimit extends WindowedLimit {
  private static final double SMOOTHING = 0.2;
  private static final double MIN_GRADIENT = 0.5;

  GradientLimit(LimitSettings settings) {
    super(settings);
  }

  @Override
  double nextLimit(double current, double slowdown, double tolerance, boolean utilized) {
    double gradient = Math.max(MIN_GRADIENT, Math.min(1, tolerance / slowdown));
    boolean grow = gradient == 1 && utilized;
    double target = current * gradient + (grow ? Math.sqrt(current) : 0);
    return current + SMOOTHING * (target - current);
  }
}
