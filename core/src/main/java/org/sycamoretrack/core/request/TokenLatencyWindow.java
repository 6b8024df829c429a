package org.sycamoretrack.core.request;

/**
 * Averages the time for a token over windows of observations and remembers the smallest average.
 *
 * <p>A window closes after as many observations as the limit allows requests, at least {@link
 * #MIN_OBSERVATIONS}, so that each request that runs has had about one say in it.
 */
final class TokenLatencyWindow {
  private static final int MIN_OBSERVATIONS = 10;

  private long elapsedNs;
  private long tokens;
  private int observations;
  private int peakInFlight;
  private double baselineNsPerToken;
  private double meanNsPerToken;

  /** Takes one observation and returns whether the window closed with it. */
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

  /** Returns the mean time for a token in the closed window over the time without load. */
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
