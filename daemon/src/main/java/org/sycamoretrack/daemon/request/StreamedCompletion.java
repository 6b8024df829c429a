package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpStream;

/**
 * An answer that is sent as server-sent events while it is generated.
 *
 * <p>The status is sent with the first chunk, so that a request that fails before it gets an
 * ordinary error answer. Confined to the event loop of its call.
 */
final class StreamedCompletion implements CompletionAnswer {
  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, String> HEADERS =
      Map.of("content-type", "text/event-stream", "cache-control", "no-cache");

  private final CompletionCall call;
  private final HttpExchange exchange;
  private HttpStream stream;
  private long lastVersion;

  StreamedCompletion(CompletionCall call, HttpExchange exchange) {
    this.call = call;
    this.exchange = exchange;
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    lastVersion = version;
    write(call.chunk(newText, tokens, version, null));
  }

  @Override
  public void onFinished(String finishReason) {
    write(call.chunk("", 0, lastVersion, finishReason));
    stream.write(DONE);
    stream.end();
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    if (stream == null) {
      exchange.respond(ErrorAnswers.answer(failure.toException()));
      return;
    }
    write(ErrorAnswers.body(failure.toException()));
    stream.end();
  }

  private void write(ObjectNode event) {
    if (stream == null) {
      stream = exchange.startStream(200, HEADERS);
    }
    byte[] json = Json.bytes(event);
    byte[] line = new byte[PREFIX.length + json.length + 2];
    System.arraycopy(PREFIX, 0, line, 0, PREFIX.length);
    System.arraycopy(json, 0, line, PREFIX.length, json.length);
    line[line.length - 2] = '\n';
    line[line.length - 1] = '\n';
    stream.write(line);
  }
}
