package org.sycamoretrack.core.request;

/**
 * Base class of the limits that are adjusted after each {@link TokenLatencyWindow}. It tracks the
 * window, the requests in flight, and whether the limit was utilized during the window.
 *
 * <p>A limit counts as utilized when the peak number of requests in flight reached the part of the
 * limit that {@link AdmissionQueue} leaves to rollout requests after reserving slots for
 * interactive ones. A limit that was not utilized must not be raised, because nothing was measured
 * at that level. A dropped request lowers the limit by a tenth.
 *
 * <p>Example: with limit 8, the reserve leaves 6 slots to rollout requests. A window with a peak of
 * 6 requests in flight utilized the limit; one with a peak of 5 did not.
 */
abstract sealed class WindowedLimit implements ConcurrencyLimit permits AimdLimit, GradientLimit {
  /** The factor applied to the limit on overload. */
  static final double DECREASE_FACTOR = 0.9;

  /** The share of the limit, rounded down, that the default reserve leaves to rollout requests. */
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
   * Returns the limit to apply after a window, before clamping to the configured bounds.
   *
   * @param current the limit during the window
   * @param slowdown the mean time per token divided by the baseline
   * @param tolerance the highest slowdown that does not lower the limit
   * @param utilized whether the limit was utilized
   */
  abstract double nextLimit(double current, double slowdown, double tolerance, boolean utilized);

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
      boolean utilized = window.peakInFlight() >= (int) (limit() * UTILIZED_SHARE);
      double next = nextLimit(limit, window.slowdown(), settings.tolerance(), utilized);
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
