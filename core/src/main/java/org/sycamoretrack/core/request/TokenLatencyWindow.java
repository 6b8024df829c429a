package org.sycamoretrack.core.request;

/**
 * Averages the time per token over windows of observations and keeps the smallest average as the
 * baseline without load.
 *
 * <p>A window closes after as many observations as the concurrency limit, and at least {@link
 * #MIN_OBSERVATIONS}, so that each running request contributes about one observation.
 */
final class TokenLatencyWindow {
  private static final int MIN_OBSERVATIONS = 10;

  private long elapsedNs;
  private long tokens;
  private int observations;
  private int peakInFlight;
  private double baselineNsPerToken;
  private double meanNsPerToken;

  /**
   * Adds one observation and returns whether it closed the window. A window that closes while the
   * limit is at its minimum resets the baseline.
   */
  boolean add(long newElapsedNs, int newTokens, int inFlight, double limit, boolean atMin) {
    elapsedNs += newElapsedNs;
    tokens += newTokens;
    peakInFlight = Math.max(peakInFlight, inFlight);
    observations++;
    if (observations < Math.max(MIN_OBSERVATIONS, limit)) {
      return false;
    }
    meanNsPerToken = (double) elapsedNs / tokens;
    if (baselineNsPerToken == 0 || atMin || meanNsPerToken < baselineNsPerToken) {
      baselineNsPerToken = meanNsPerToken;
    }
    return true;
  }

  /** Returns the mean time per token of the closed window divided by the baseline. */
  double slowdown() {
    return meanNsPerToken / baselineNsPerToken;
  }

  int peakInFlight() {
    return peakInFlight;
  }

  void clear() {
    elapsedNs = 0;
    tokens = 0;
    observations = 0;
    peakInFlight = 0;
  }
}
