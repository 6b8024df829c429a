package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.transport.process.Json;

/**
 * Tests of {@link ChunkWriter}, which builds JSON by hand: guards against events that a JSON parser
 * rejects or reads differently, which text with quotes, control characters or unpaired surrogates
 * would cause.
 */
class ChunkWriterTest {
  @Property(tries = 500)
  void eventsAreJson(
      @ForAll boolean chat, @ForAll String model, @ForAll String text, @ForAll boolean last) {
    CompletionCall call = new CompletionCall("r-1", chat, model, "p", 8, null, true);
    byte[] bytes = new ChunkWriter(call).event(text, 3, 7, last ? "stop" : null);
    String event = new String(bytes, StandardCharsets.UTF_8);
    assertThat(event).startsWith("data: ").endsWith("\n\n");
    JsonNode json = Json.parse(event.substring(6).getBytes(StandardCharsets.UTF_8));
    JsonNode choice = json.path("choices").path(0);
    JsonNode content = chat ? choice.path("delta").path("content") : choice.path("text");
    assertThat(content.textValue()).isEqualTo(encodable(text));
    assertThat(json.path("model").textValue()).isEqualTo(encodable(model));
    assertThat(json.path("tokens").intValue()).isEqualTo(3);
    assertThat(json.path("weight_version").longValue()).isEqualTo(7);
    assertThat(choice.path("finish_reason").textValue()).isEqualTo(last ? "stop" : null);
  }

  @Test
  void unpairedSurrogateIsReplaced() {
    CompletionCall call = new CompletionCall("r-1", false, "m", "p", 8, null, true);
    byte[] bytes = new ChunkWriter(call).event("a\ud800b", 1, 7, null);
    assertThat(new String(bytes, StandardCharsets.UTF_8)).contains("\"a?b\"");
  }

  /** Returns a text as it is after encoding in UTF-8, which replaces unpaired surrogates. */
  private static String encodable(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
  }
}
