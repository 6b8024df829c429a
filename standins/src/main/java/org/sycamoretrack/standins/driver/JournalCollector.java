package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import org.sycamoretrack.standins.history.History;
import org.sycamoretrack.standins.history.HistoryRecord.CallExecuted;
import org.sycamoretrack.standins.history.HistoryRecord.EngineProduced;
import org.sycamoretrack.standins.history.HistoryRecord.WorkReceived;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * Copies the journals of the stand-in endpoints into a history. To be called once per endpoint,
 * after all requests have ended.
 */
public final class JournalCollector {
  private static final int TIMEOUT_MS = 30_000;

  private final HttpClient client;
  private final History history;

  /**
   * Creates a collector.
   *
   * @param client the HTTP client that reads the journals
   * @param history receives the records
   */
  public JournalCollector(HttpClient client, History history) {
    this.client = client;
    this.history = history;
  }

  /**
   * Adds the tokens that an engine produced.
   *
   * @param endpoint its name
   * @param address the address that it listens on
   */
  public void addEngine(String endpoint, InetSocketAddress address) {
    for (JsonNode entry : read(address, "/journal?after=0").path("entries")) {
      String requestId = requestIdOf(entry.path("requestId").asText());
      String prompt = entry.path("prompt").asText();
      history.add(new WorkReceived(entry.path("startedAtMs").asLong(), endpoint, requestId));
      SimulatedCompletion completion =
          new SimulatedCompletion(prompt, entry.path("seed").asLong(), 0);
      for (JsonNode span : entry.path("spans")) {
        int from = span.path("fromToken").asInt();
        StringBuilder text = new StringBuilder();
        completion.append(from, span.path("toToken").asInt(), text);
        history.add(
            new EngineProduced(
                entry.path("startedAtMs").asLong(),
                endpoint,
                requestId,
                prompt,
                from,
                span.path("version").asLong(),
                text.toString()));
      }
    }
  }

  /** Returns the request id of a stream id, which has the form {@code requestId.attempt}. */
  private static String requestIdOf(String streamId) {
    int dot = streamId.lastIndexOf('.');
    return dot < 0 ? streamId : streamId.substring(0, dot);
  }

  /**
   * Adds the calls that a plain service executed.
   *
   * @param endpoint its name
   * @param address the address that it listens on
   */
  public void addService(String endpoint, InetSocketAddress address) {
    for (JsonNode call : read(address, "/executions?after=0").path("executions")) {
      long atMs = call.path("atMs").asLong();
      String requestId = call.path("requestId").asText();
      history.add(new WorkReceived(atMs, endpoint, requestId));
      String key =
          call.path("idempotencyKey").isTextual() ? call.get("idempotencyKey").asText() : null;
      history.add(new CallExecuted(atMs, endpoint, requestId, key));
    }
  }

  private JsonNode read(InetSocketAddress address, String target) {
    return client
        .call(HttpRequest.builder("GET", address, target).timeoutMs(TIMEOUT_MS).build())
        .join()
        .json();
  }
}
