package org.sycamoretrack.core.request;

/**
 * A limit with additive increase and multiplicative decrease (AIMD).
 *
 * <p>After a window whose slowdown is within the tolerance, the limit grows by one if it was
 * utilized. After a slower window, and whenever a request is dropped, it shrinks by a tenth.
 *
 * <p>Example: limit 20, tolerance 1.5. A window with slowdown 1.3 changes the limit to 21; one with
 * slowdown 1.7 changes it to 18.9.
 */
final class AimdLimit extends WindowedLimit {
  AimdLimit(LimitSettings settings) {
    super(settings);
  }

  @Override
  double nextLimit(double current, double slowdown, double tolerance, boolean utilized) {
    if (slowdown > tolerance) {
      return current * DECREASE_FACTOR;
    }
    return utilized ? current + 1 : current;
  }
}
