package org.sycamoretrack.standins.request;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller of an engine asks for.
 *
 * @param requestId the name of the stream
 * @param prompt the prompt
 * @param maxTokens most tokens of the whole answer, those before {@code continue_from} included
 * @param seed the seed of sampling
 * @param continueText what was generated before, empty for a new answer
 * @param continueTokens the number of tokens in it
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
   * Reads a request.
   *
   * @param requestId the name of the stream
   * @param json the body
   * @return the request
   * @throws IllegalArgumentException when a field does not have the required form
   */
  public static CompletionRequest parse(String requestId, JsonNode json) {
    if (!json.path("prompt").isTextual() || !json.path("stream").asBoolean()) {
      throw new IllegalArgumentException("prompt and stream: a text and true are required");
    }
    JsonNode from = json.path("continue_from");
    return new CompletionRequest(
        requestId,
        json.path("prompt").asText(),
        json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        json.path("seed").asLong(),
        from.path("text").asText(""),
        from.path("tokens").asInt());
  }
}
