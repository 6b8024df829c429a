package org.sycamoretrack.daemon.request;

/**
 * Receives what is generated for one request.
 *
 * <p>Exactly one of {@link #onFinished} and {@link #onFailed} is called, and nothing after it.
 */
public interface GenerationListener {
  /**
   * Called for each chunk.
   *
   * @param text the tokens' text
   * @param tokens the number of tokens, over 0
   * @param version the weight version that made them
   */
  void onTokens(String text, int tokens, long version);

  /**
   * Called when the answer is whole.
   *
   * @param finishReason {@code stop} or {@code length}
   */
  void onFinished(String finishReason);

  /**
   * Called when the answer can't be had whole.
   *
   * @param failure the reason
   */
  void onFailed(GenerationFailure failure);
}
