package org.sycamoretrack.core.request;

/**
 * How many requests an endpoint may run at once, adapted to the time that it takes for a token.
 *
 * <p>An engine with continuous batching slows down each request as its batch grows. A limit
 * compares the time for a token, averaged over a window of observations, with the time without
 * load, and keeps it near {@code tolerance} times that. The time without load is the smallest
 * average of a window; it is learned anew when the limit stands at its minimum, where what is
 * measured is the time without load.
 *
 * <p>For plain services, give 1 as the number of tokens.
 */
public sealed interface ConcurrencyLimit permits WindowedLimit {
  /** Notes that a request starts. */
  void onStart();

  /**
   * Notes that a request ended well.
   *
   * @param latencyNs time from its first token to its end, above 0; ignored when tokens is 0
   * @param tokens the tokens made in this time, at least 0
   */
  void onSuccess(long latencyNs, int tokens);

  /**
   * Notes tokens of a request that goes on. What was noted here must not be repeated in {@link
   * #onSuccess}.
   *
   * @param elapsedNs the time that the tokens took, above 0
   * @param tokens the tokens made in this time, at least 1
   */
  void onProgress(long elapsedNs, int tokens);

  /** Notes that the endpoint refused a request, ran out of time or failed. */
  void onDropped();

  /** Notes that a request ended for a reason that says nothing of the endpoint's load. */
  void onCancelled();

  /** Returns how many requests may run now. */
  int limit();

  /** Returns how many requests were started and haven't ended. */
  int inFlight();

  /**
   * Creates a limit with additive increase and multiplicative decrease.
   *
   * @param settings the bounds
   */
  static ConcurrencyLimit aimd(LimitSettings settings) {
    return new AimdLimit(settings);
  }

  /**
   * Creates a limit that follows the ratio of the times without and under load.
   *
   * @param settings the bounds
   */
  static ConcurrencyLimit gradient(LimitSettings settings) {
    return new GradientLimit(settings);
  }
}
