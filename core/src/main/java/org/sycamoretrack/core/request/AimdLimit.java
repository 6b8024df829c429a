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
final class AimdLimit implements ConcurrencyLimit {
  private static final double DECREASE = 0.9;

  /** What the reserve for short work leaves to rollout work, rounded down. */
  private static final double USED_SHARE = 0.75;

  private final LimitSettings settings;
  private final TokenTimeWindow window = new TokenTimeWindow();
  private double limit;
  private int inFlight;

  AimdLimit(LimitSettings settings) {
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
    limit = settings.clamp(limit * DECREASE);
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
    if (window.slowdown() > settings.tolerance()) {
      limit = settings.clamp(limit * DECREASE);
    } else if (window.peakInFlight() >= (int) (limit() * USED_SHARE)) {
      limit = settings.clamp(limit + 1);
    }
  }
}
