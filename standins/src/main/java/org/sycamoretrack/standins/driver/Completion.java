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
record Completion(String text, int tokens, boolean ended, JsonNode error) {
  private static final String PREFIX = "data: ";
  private static final String DONE = "[DONE]";

  /** Reads an answer with status 200, streamed or not. */
  static Completion parse(HttpAnswer answer) {
    String type = answer.header("content-type");
    return type != null && type.startsWith("text/event-stream")
        ? parseEvents(new String(answer.body(), StandardCharsets.UTF_8))
        : parseWhole(answer.json());
  }

  private static Completion parseWhole(JsonNode json) {
    JsonNode choice = json.path("choices").path(0);
    return new Completion(
        choice.path("text").asText(),
        json.path("usage").path("completion_tokens").asInt(),
        choice.path("finish_reason").isTextual(),
        null);
  }

  private static Completion parseEvents(String events) {
    StringBuilder text = new StringBuilder();
    int tokens = 0;
    boolean finished = false;
    for (String line : events.split("\n", -1)) {
      if (!line.startsWith(PREFIX)) {
        continue;
      }
      String data = line.substring(PREFIX.length()).trim();
      if (data.equals(DONE)) {
        return new Completion(text.toString(), tokens, finished, null);
      }
      JsonNode json = Json.parse(data.getBytes(StandardCharsets.UTF_8));
      if (json.has("error")) {
        return new Completion(text.toString(), tokens, false, json.get("error"));
      }
      JsonNode choice = json.path("choices").path(0);
      text.append(choice.path("text").asText());
      tokens += json.path("tokens").asInt();
      finished |= choice.path("finish_reason").isTextual();
    }
    return new Completion(text.toString(), tokens, false, null);
  }
}
