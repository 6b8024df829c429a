package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;

/**
 * The answer to a completion.
 *
 * @param text the text
 * @param tokens the number of tokens that the answer names
 * @param ended whether it ended with its end marker
 * @param error the error in it, or null
 */
record CompletionResponse(String text, int tokens, boolean ended, JsonNode error) {
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARKER = "[DONE]";

  /** Reads an answer with status 200, streamed or not. */
  static CompletionResponse parse(HttpAnswer answer) {
    String type = answer.header("content-type");
    return type != null && type.startsWith("text/event-stream")
        ? parseEvents(new String(answer.body(), StandardCharsets.UTF_8))
        : parseJson(answer.json());
  }

  private static CompletionResponse parseJson(JsonNode json) {
    JsonNode choice = json.path("choices").path(0);
    return new CompletionResponse(
        choice.path("text").asText(),
        json.path("usage").path("completion_tokens").asInt(),
        choice.path("finish_reason").isTextual(),
        null);
  }

  private static CompletionResponse parseEvents(String events) {
    StringBuilder text = new StringBuilder();
    int tokens = 0;
    boolean finished = false;
    for (String line : events.split("\n", -1)) {
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length()).trim();
      if (data.equals(END_MARKER)) {
        return new CompletionResponse(text.toString(), tokens, finished, null);
      }
      JsonNode json = Json.parse(data.getBytes(StandardCharsets.UTF_8));
      if (json.has("error")) {
        return new CompletionResponse(text.toString(), tokens, false, json.get("error"));
      }
      JsonNode choice = json.path("choices").path(0);
      text.append(choice.path("text").asText());
      tokens += json.path("tokens").asInt();
      finished |= choice.path("finish_reason").isTextual();
    }
    return new CompletionResponse(text.toString(), tokens, false, null);
  }
}
