package org.sycamoretrack.core.request;

/**
 * What the limits that adapt after each {@link TokenLatencyWindow} have in common: the window, the
 * requests in flight, and whether the limit was used.
 *
 * <p>A limit counts as used when rollout work had all that the reserve for short work leaves it;
 * work that never fills a limit must not raise it. A dropped request lowers the limit by a tenth.
 *
 * <p>Example: of limit 8 the reserve leaves 6 to rollout work. A window in which 6 requests ran at
 * a time used it, one in which 5 ran did not.
 */
abstract sealed class WindowedLimit implements ConcurrencyLimit permits AimdLimit, GradientLimit {
  /** The factor by which a limit falls at a sign of overload. */
  static final double DECREASE_FACTOR = 0.9;

  /** What the reserve for short work leaves to rollout work, rounded down. */
  private static final double UTILIZED_SHARE = 0.75;

  private final LimitSettings settings;
  private final TokenLatencyWindow window = new TokenLatencyWindow();
  private double limit;
  private int inFlight;

  WindowedLimit(LimitSettings settings) {
    this.settings = settings;
    this.limit = settings.initial();
  }

  /**
   * Returns the limit after a window, before it is brought within its bounds.
   *
   * @param before the limit during the window
   * @param slowdown the time for a token over the time without load
   * @param tolerance the slowdown that is accepted
   * @param used whether the limit was used
   */
  abstract double nextLimit(double before, double slowdown, double tolerance, boolean used);

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
      boolean used = window.peakInFlight() >= (int) (limit() * UTILIZED_SHARE);
      double next = nextLimit(limit, window.slowdown(), settings.tolerance(), used);
      limit = settings.clamp(next);
      window.clear();
    }
  }

  @Override
  public void onDropped() {
    inFlight--;
    limit = settings.clamp(limit * DECREASE_FACTOR);
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
}
