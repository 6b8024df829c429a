package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A parsed response to a completion request.
 *
 * @param text the generated text
 * @param tokens the number of tokens that the response reports
 * @param ended whether it has a finish reason and, if streamed, the end marker
 * @param error the error that it contains, or null
 */
record CompletionResponse(String text, int tokens, boolean ended, JsonNode error) {
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARKER = "[DONE]";

  /** Parses a response with status 200, streamed or not. */
  static CompletionResponse parse(HttpResponse response) {
    String type = response.header("content-type");
    return type != null && type.startsWith("text/event-stream")
        ? parseEvents(new String(response.body(), StandardCharsets.UTF_8))
        : parseJson(response.json());
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
