package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Writes the events of one streamed completion.
 *
 * <p>The parts that all events of a response share are encoded once. Each event is assembled from
 * them, the quoted text, the finish reason and two numbers. Example:
 *
 * <pre>{@code
 * data: {"id":"r","object":"text_completion","model":"m","choices":[{"index":0,"text":
 *   <text> ,"finish_reason":null}],"tokens": <tokens> ,"weight_version": <version> }
 * }</pre>
 */
final class ChunkWriter {
  private static final JsonStringEncoder QUOTER = JsonStringEncoder.getInstance();

  private final byte[] beforeText;
  private final String afterText;

  ChunkWriter(CompletionCall call) {
    String object = call.chat() ? "chat.completion.chunk" : "text_completion";
    String field = call.chat() ? "\"delta\":{\"content\":\"" : "\"text\":\"";
    this.beforeText =
        ("data: {\"id\":\""
                + quoted(call.id())
                + "\",\"object\":\""
                + object
                + "\",\"model\":\""
                + quoted(call.model())
                + "\",\"choices\":[{\"index\":0,"
                + field)
            .getBytes(StandardCharsets.UTF_8);
    this.afterText = call.chat() ? "\"},\"finish_reason\":" : "\",\"finish_reason\":";
  }

  private static String quoted(String text) {
    return new String(QUOTER.quoteAsString(text));
  }

  private static byte[] quotedUtf8(String text) {
    try {
      return QUOTER.quoteAsUTF8(text);
    } catch (IllegalArgumentException e) {
      // The text has an unpaired surrogate, which UTF-8 can't encode; it becomes a question mark.
      byte[] replaced = text.getBytes(StandardCharsets.UTF_8);
      return QUOTER.quoteAsUTF8(new String(replaced, StandardCharsets.UTF_8));
    }
  }

  /**
   * Returns one event, including the empty line that terminates it.
   *
   * @param text the text of the tokens
   * @param tokens the number of tokens
   * @param version the weight version that generated them
   * @param finishReason why generation ended, or null while it continues
   */
  byte[] event(String text, int tokens, long version, String finishReason) {
    byte[] quotedText = quotedUtf8(text);
    String reason = finishReason == null ? "null" : '"' + quoted(finishReason) + '"';
    byte[] end =
        (afterText
                + reason
                + "}],\"tokens\":"
                + tokens
                + ",\"weight_version\":"
                + version
                + "}\n\n")
            .getBytes(StandardCharsets.UTF_8);
    byte[] event = new byte[beforeText.length + quotedText.length + end.length];
    System.arraycopy(beforeText, 0, event, 0, beforeText.length);
    System.arraycopy(quotedText, 0, event, beforeText.length, quotedText.length);
    System.arraycopy(end, 0, event, beforeText.length + quotedText.length, end.length);
    return event;
  }
}
