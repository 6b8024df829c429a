package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/** Calls model engines over HTTP: server-sent events for streams, JSON for other calls. */
public final class HttpEngineClient implements EngineClient {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final HttpClient client;
  private final ExternalServiceCalls calls;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param timeoutMs the timeout for calls other than streams, in milliseconds
   */
  public HttpEngineClient(HttpClient client, int timeoutMs) {
    this.client = client;
    this.calls = new ExternalServiceCalls(client, "engine", ErrorCode.ENDPOINT_FAILED, timeoutMs);
  }

  @Override
  public HttpCall complete(
      InetSocketAddress address,
      CompletionRequest request,
      EventLoop loop,
      EngineListener listener) {
    HttpRequest httpRequest =
        HttpRequest.builder("POST", address, "/v1/completions")
            .header("x-request-id", request.requestId())
            .json(write(request))
            .timeoutMs(request.timeoutMs())
            .idleTimeoutMs(request.idleTimeoutMs())
            .build();
    EngineStream stream = new EngineStream(listener);
    HttpCall call =
        loop == null ? client.send(httpRequest, stream) : client.send(httpRequest, stream, loop);
    stream.setCancelAction(call::cancel);
    return call;
  }

  private static ObjectNode write(CompletionRequest request) {
    ObjectNode body =
        Json.object()
            .put("model", request.model())
            .put("prompt", request.prompt())
            .put("max_tokens", request.maxTokens())
            .put("seed", request.seed())
            .put("stream", true);
    if (request.continueTokens() > 0) {
      body.putObject("continue_from")
          .put("text", request.continueText())
          .put("tokens", request.continueTokens());
    }
    return body;
  }

  @Override
  public CompletionStage<Void> cancel(InetSocketAddress address, String requestId) {
    String target = "/v1/requests/" + ExternalServiceCalls.encode(requestId);
    return calls.call(
        calls.request("DELETE", address, target).build(),
        response -> {
          boolean success =
              response.status() >= FIRST_SUCCESS && response.status() < FIRST_REDIRECT;
          if (!success && response.status() != NOT_FOUND) {
            throw calls.unexpectedStatus(response);
          }
          return null;
        });
  }

  @Override
  public CompletionStage<EngineLoadReport> loadReport(InetSocketAddress address) {
    return calls.call(
        calls.request("GET", address, "/load").build(),
        response -> {
          calls.requireOk(response);
          return readLoad(response.json());
        });
  }

  private static EngineLoadReport readLoad(JsonNode body) {
    return new EngineLoadReport(
        JsonFields.requireInt(body, "running"),
        JsonFields.requireInt(body, "waiting"),
        JsonFields.requireDouble(body, "kvUsedShare"),
        JsonFields.requireLong(body, "weightVersion"),
        JsonFields.requireBoolean(body, "leaving"),
        JsonFields.requireLong(body, "asOfMs"));
  }

  @Override
  public CompletionStage<Weights> weights(InetSocketAddress address) {
    return calls.call(
        calls.request("GET", address, "/weights").build(),
        response -> {
          calls.requireOk(response);
          return readWeights(response.json());
        });
  }

  private static Weights readWeights(JsonNode body) {
    long loading =
        body.hasNonNull("loading") ? JsonFields.requireLong(body, "loading") : NOT_LOADING;
    return new Weights(
        JsonFields.requireLong(body, "version"), loading, JsonFields.requireLong(body, "fence"));
  }

  @Override
  public CompletionStage<EngineLoadCommandResponse> sendLoadCommand(
      InetSocketAddress address, EngineLoadCommand command) {
    ObjectNode body =
        Json.object()
            .put("orderId", command.commandId())
            .put("order", "load-weights")
            .put("version", command.version())
            .put("fence", command.fence())
            .put("node", command.nodeId());
    return calls.call(
        calls.request("POST", address, "/orders").json(body).build(),
        this::readLoadCommandResponse);
  }

  private EngineLoadCommandResponse readLoadCommandResponse(HttpResponse response) {
    if (response.status() == ACCEPTED) {
      if (!JsonFields.requireBoolean(response.json(), "accepted")) {
        throw new IllegalArgumentException(
            "status and body of the response to a load command contradict each other");
      }
      return EngineLoadCommandResponse.ACCEPTED;
    }
    if (response.status() == CONFLICT
        && response.json().path("error").path("code").asText().equals("stale-fence")) {
      return EngineLoadCommandResponse.STALE_FENCE;
    }
    throw calls.unexpectedStatus(response);
  }
}
