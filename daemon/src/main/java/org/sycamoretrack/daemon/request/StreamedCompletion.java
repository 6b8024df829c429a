package org.sycamoretrack.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponseStream;

/**
 * Sends a completion as server-sent events while it is generated.
 *
 * <p>The status is sent with the first chunk. A request that fails earlier therefore gets an
 * ordinary error response. One that fails later ends with its connection, so that what was sent
 * can't be taken for the whole completion, or the error for a part of it.
 *
 * <p>Confined to the event loop of its call.
 */
final class StreamedCompletion implements CompletionResponder {
  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, String> HEADERS =
      Map.of("content-type", "text/event-stream", "cache-control", "no-cache");

  private static final System.Logger LOG = System.getLogger(StreamedCompletion.class.getName());

  private final String requestId;
  private final ChunkWriter chunks;
  private final HttpExchange exchange;
  private HttpResponseStream stream;
  private long lastVersion;

  StreamedCompletion(CompletionCall call, HttpExchange exchange) {
    this.requestId = call.id();
    this.chunks = new ChunkWriter(call);
    this.exchange = exchange;
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    lastVersion = version;
    write(chunks.event(newText, tokens, version, null));
  }

  @Override
  public void onFinished(String finishReason) {
    write(chunks.event("", 0, lastVersion, finishReason));
    stream.write(DONE);
    stream.end();
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    if (stream == null) {
      exchange.respond(ErrorResponses.response(failure.toException()));
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("stream-broken-off")
            .with("request", requestId)
            .with("code", failure.code().wireName())
            .with("reason", failure.message()));
    stream.abort();
  }

  private void write(byte[] event) {
    if (stream == null) {
      stream = exchange.startStream(200, HEADERS);
    }
    stream.write(event);
  }
}
