package org.sycamoretrack.core.request;

/**
 * An adaptive limit of the number of concurrent requests on an endpoint, controlled by the measured
 * time per token.
 *
 * <p>An engine with continuous batching slows down each request as its batch grows. The limit
 * compares the time per token, averaged over a window of observations, with the baseline without
 * load, and keeps the ratio near {@code tolerance}. The baseline is the smallest average of any
 * window. It is measured again while the limit is at its minimum, where the endpoint is practically
 * unloaded.
 *
 * <p>For services that don't generate tokens, callers pass 1 as the number of tokens, so that the
 * time per token is the latency of the request.
 */
public sealed interface ConcurrencyLimit permits WindowedLimit {
  /** Records the start of a request. */
  void onStart();

  /**
   * Records the successful end of a request.
   *
   * @param latencyNs the time from its first token to its end, above 0; ignored when {@code tokens}
   *     is 0
   * @param tokens the number of tokens generated in this time, at least 0
   */
  void onSuccess(long latencyNs, int tokens);

  /**
   * Records tokens of a request that is still running. Tokens reported here must not be reported
   * again to {@link #onSuccess}.
   *
   * @param elapsedNs the time it took to generate the tokens, above 0
   * @param tokens the number of tokens generated in this time, at least 1
   */
  void onProgress(long elapsedNs, int tokens);

  /** Records the end of a request that the endpoint rejected, timed out on or failed. */
  void onDropped();

  /** Records the end of a request for a reason unrelated to the load of the endpoint. */
  void onCancelled();

  /** Returns the current limit. */
  int limit();

  /** Returns the number of requests that have started and not ended. */
  int inFlight();

  /**
   * Creates a limit with additive increase and multiplicative decrease (AIMD).
   *
   * @param settings the bounds and the tolerated slowdown
   */
  static ConcurrencyLimit aimd(LimitSettings settings) {
    return new AimdLimit(settings);
  }

  /**
   * Creates a limit that follows the ratio of the baseline time per token to the current one.
   *
   * @param settings the bounds and the tolerated slowdown
   */
  static ConcurrencyLimit gradient(LimitSettings settings) {
    return new GradientLimit(settings);
  }
}
