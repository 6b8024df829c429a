package org.sycamoretrack.daemon.request;

/**
 * Receives the output of one request.
 *
 * <p>Unless the request is cancelled, exactly one of {@link #onFinished} and {@link #onFailed} is
 * called, and no method after it.
 */
public interface GenerationListener {
  /**
   * Called for each chunk.
   *
   * @param text the text of the tokens
   * @param tokens the number of tokens, at least 1
   * @param version the weight version that generated them
   */
  void onTokens(String text, int tokens, long version);

  /**
   * Called when generation has finished.
   *
   * @param finishReason {@code stop} or {@code length}
   */
  void onFinished(String finishReason);

  /**
   * Called when generation has failed.
   *
   * @param failure the failure
   */
  void onFailed(GenerationFailure failure);
}
