package org.sycamoretrack.core.request;

/**
 * A limit with additive increase and multiplicative decrease.
 *
 * <p>After a window whose slowdown is within the tolerance, the limit rises by one, if it was used;
 * after a slower one, and when a request is dropped, it falls by a tenth.
 *
 * <p>Example: limit 20, tolerance 1.5. A window with slowdown 1.3 gives 21; one with 1.7 gives
 * 18.9.
 */
final class AimdLimit extends WindowedLimit {
  AimdLimit(LimitSettings settings) {
    super(settings);
  }

  @Override
  double nextLimit(double before, double slowdown, double tolerance, boolean used) {
    if (slowdown > tolerance) {
      return before * DECREASE_FACTOR;
    }
    return used ? before + 1 : before;
  }
}
