package org.sycamoretrack.standins.request;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A completion request to an engine.
 *
 * @param requestId id of the stream
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens of the completion, including those of {@code
 *     continue_from}
 * @param seed the sampling seed
 * @param continueText the text generated before; empty for a new completion
 * @param continueTokens the number of tokens in {@code continueText}
 */
public record CompletionRequest(
    String requestId,
    String prompt,
    int maxTokens,
    long seed,
    String continueText,
    int continueTokens) {
  private static final int DEFAULT_MAX_TOKENS = 256;

  /**
   * Parses a request.
   *
   * @param requestId id of the stream
   * @param json the body of the request
   * @return the request
   * @throws IllegalArgumentException if a field is invalid
   */
  public static CompletionRequest parse(String requestId, JsonNode json) {
    if (!json.path("prompt").isTextual() || !json.path("stream").asBoolean()) {
      throw new IllegalArgumentException("prompt must be a string and stream must be true");
    }
    JsonNode continueFrom = json.path("continue_from");
    return new CompletionRequest(
        requestId,
        json.path("prompt").asText(),
        json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        json.path("seed").asLong(),
        continueFrom.path("text").asText(""),
        continueFrom.path("tokens").asInt());
  }
}
