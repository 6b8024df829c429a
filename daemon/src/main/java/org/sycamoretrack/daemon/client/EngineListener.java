package org.sycamoretrack.daemon.client;

/**
 * Receives a completion stream. All methods are called on the event loop of the stream.
 *
 * <p>Exactly one of {@link #onFinished} and {@link #onFailed} is called, and nothing after it.
 */
public interface EngineListener {
  /**
   * Called for each chunk that carries tokens.
   *
   * @param text the tokens' text, may be empty
   * @param tokens the number of tokens, greater than 0
   * @param weightVersion the version of the weights that generated them
   */
  void onTokens(String text, int tokens, long weightVersion);

  /**
   * Called when the engine has sent its end marker after a finish reason.
   *
   * @param finishReason {@code stop} or {@code length}
   */
  void onFinished(String finishReason);

  /**
   * Called when the stream fails.
   *
   * @param failure the reason
   */
  void onFailed(EngineFailure failure);
}
