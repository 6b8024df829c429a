package org.sycamoretrack.daemon.farend;

/**
 * Receives a completion stream, all calls on its event loop.
 *
 * <p>Exactly one of {@link #onFinished} and {@link #onFailed} is called, and nothing after it.
 */
public interface EngineListener {
  /**
   * Called for each chunk that carries tokens.
   *
   * @param text the tokens' text, may be empty
   * @param tokens the number of tokens, over 0
   * @param weightVersion the version of the weights that made them
   */
  void onTokens(String text, int tokens, long weightVersion);

  /**
   * Called when the engine has sent its end marker after a finish reason.
   *
   * @param finishReason {@code stop} or {@code length}
   */
  void onFinished(String finishReason);

  /**
   * Called when the stream can't be had whole.
   *
   * @param failure the reason
   */
  void onFailed(EngineFailure failure);
}
