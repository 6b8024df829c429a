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
final class GradientLimit implements ConcurrencyLimit {
  private static final double SMOOTHING = 0.2;
  private static final double MIN_GRADIENT = 0.5;
  private static final double DROP_DECREASE = 0.9;

  /** What the reserve for short work leaves to rollout work, rounded down. */
  private static final double USED_SHARE = 0.75;

  private final LimitSettings settings;
  private final TokenTimeWindow window = new TokenTimeWindow();
  private double limit;
  private int inFlight;

  GradientLimit(LimitSettings settings) {
    this.settings = settings;
    this.limit = settings.initial();
  }

  @Override
  public void onStart() {
    inFlight++;
  }

  @Override
  public void onSuccess(long latencyNs, int tokens) {
    if (tokens > 0) {
      onProgress(latencyNs, tokens);
    }
    inFlight--;
  }

  @Override
  public void onProgress(long elapsedNs, int tokens) {
    boolean atMin = limit <= settings.min();
    if (window.add(elapsedNs, tokens, inFlight, limit, atMin)) {
      adapt();
      window.clear();
    }
  }

  @Override
  public void onDropped() {
    inFlight--;
    limit = settings.clamp(limit * DROP_DECREASE);
  }

  @Override
  public void onCancelled() {
    inFlight--;
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public int inFlight() {
    return inFlight;
  }

  private void adapt() {
    double gradient = Math.max(MIN_GRADIENT, Math.min(1, settings.tolerance() / window.slowdown()));
    boolean grow = gradient == 1 && window.peakInFlight() >= (int) (limit() * USED_SHARE);
    double target = limit * gradient + (grow ? Math.sqrt(limit) : 0);
    limit = settings.clamp(limit + SMOOTHING * (target - limit));
  }
}
