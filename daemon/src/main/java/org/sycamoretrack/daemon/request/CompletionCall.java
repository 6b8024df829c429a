package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.transport.process.Json;

/**
 * The parsed body of a completion call; also builds the body of its response.
 *
 * @param id the request's id
 * @param chat whether the call was {@code /v1/chat/completions}
 * @param model the pool whose endpoints generate the completion
 * @param prompt the prompt; the messages of a chat are joined, one per line
 * @param maxTokens the maximum number of tokens
 * @param seed the seed, or null when the caller set none
 * @param stream whether the response is streamed
 */
record CompletionCall(
    String id,
    boolean chat,
    String model,
    String prompt,
    int maxTokens,
    Long seed,
    boolean stream) {
  private static final int MAX_TOKENS = 65_536;
  private static final int DEFAULT_MAX_TOKENS = 256;

  static CompletionCall parse(String id, boolean chat, byte[] body) {
    RequestBodyFields fields = RequestBodyFields.parse(body);
    long noSeed = -1;
    long seed = fields.integer("seed", 0, Long.MAX_VALUE, noSeed);
    return new CompletionCall(
        id,
        chat,
        fields.string("model"),
        chat ? joinMessages(fields.list("messages")) : fields.string("prompt"),
        (int) fields.integer("max_tokens", 1, MAX_TOKENS, DEFAULT_MAX_TOKENS),
        seed == noSeed ? null : seed,
        fields.bool("stream"));
  }

  private static String joinMessages(JsonNode messages) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode node : messages) {
      RequestBodyFields message = RequestBodyFields.of(node, "messages");
      prompt.append(message.string("role")).append(": ").append(message.string("content"));
      prompt.append('\n');
    }
    return prompt.toString();
  }

  /** Returns the body of a response that is not streamed. */
  ObjectNode responseBody(String text, String finishReason, List<VersionSpan> spans) {
    ObjectNode body =
        Json.object()
            .put("id", id)
            .put("object", chat ? "chat.completion" : "text_completion")
            .put("model", model);
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason);
    int tokens = spans.isEmpty() ? 0 : spans.get(spans.size() - 1).toToken();
    body.putObject("usage").put("completion_tokens", tokens);
    body.set("weight_versions", StepCodec.spans(spans));
    return body;
  }
}
