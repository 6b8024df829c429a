package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.codec.digest.DigestUtils;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.daemon.process.NodeMetrics;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * The HTTP API of the caller port: completions and plain services, with or without an idempotency
 * key.
 */
public final class CallerApi {
  private static final String COMPLETIONS = "/v1/completions";
  private static final String CHAT = "/v1/chat/completions";

  private final CompletionApi completions;
  private final ServiceApi services;
  private final KeyedCallRouter keyedCalls;
  private final NodeMetrics metrics;
  private final Router router;

  /**
   * Creates the API.
   *
   * @param nodeId this node
   * @param completions handles completion calls
   * @param services forwards calls to plain services
   * @param claims claims calls with an idempotency key (keyed calls)
   * @param peers forwards keyed calls to the nodes that own their keys
   * @param metrics the node's metrics
   */
  CallerApi(
      String nodeId,
      CompletionApi completions,
      ServiceApi services,
      ClaimService claims,
      PeerCalls peers,
      NodeMetrics metrics) {
    this.completions = completions;
    this.services = services;
    this.metrics = metrics;
    this.keyedCalls = new KeyedCallRouter(nodeId, claims, peers, this::resolve);
    this.router =
        new Router()
            .route(COMPLETIONS, Map.of("POST", (exchange, path) -> complete(exchange, false)))
            .route(CHAT, Map.of("POST", (exchange, path) -> complete(exchange, true)))
            .route(ServiceApi.PATH, Map.of("*", (exchange, path) -> callService(exchange)));
  }

  /** Returns the handler of the caller port. */
  public HttpHandler handler() {
    return router;
  }

  private void complete(HttpExchange exchange, boolean chat) {
    if (KeyedCallRouter.keyOf(exchange) == null) {
      completions.handle(exchange, chat);
      return;
    }
    CompletionCall call = completions.parse(exchange, chat);
    handleResult(
        exchange,
        "completions",
        keyedCalls
            .run(exchange)
            .thenAccept(
                response -> {
                  if (call.stream() && response.status() == 200) {
                    respondAsStream(exchange, call, response.json());
                  } else {
                    exchange.respond(response);
                  }
                }));
  }

  /** Sends a complete response, which may be a recorded one, as a stream. */
  private static void respondAsStream(HttpExchange exchange, CompletionCall call, JsonNode body) {
    JsonNode choice = body.path("choices").path(0);
    String text =
        call.chat()
            ? choice.path("message").path("content").asText()
            : choice.path("text").asText();
    StreamedCompletion stream = new StreamedCompletion(call, exchange);
    JsonNode versions = body.path("weight_versions");
    for (int i = 0; i < versions.size(); i++) {
      JsonNode span = versions.get(i);
      int tokens = span.path("toToken").asInt() - span.path("fromToken").asInt();
      stream.onTokens(i == 0 ? text : "", tokens, span.path("version").asLong());
    }
    stream.onFinished(choice.path("finish_reason").asText());
  }

  private void callService(HttpExchange exchange) {
    CompletableFuture<HttpResponse> run =
        KeyedCallRouter.keyOf(exchange) == null
            ? services.run(exchange, false)
            : keyedCalls.run(exchange);
    handleResult(exchange, "services", run.thenAccept(exchange::respond));
  }

  private void handleResult(HttpExchange exchange, String api, CompletableFuture<Void> run) {
    long startNanos = System.nanoTime();
    run.whenComplete(
        (done, failure) -> {
          if (failure == null) {
            metrics.onSucceeded(api, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
          } else {
            SycamoreException error = ErrorResponses.toError(failure);
            metrics.onRefused(error.outcome());
            exchange.respond(ErrorResponses.response(error));
          }
        });
  }

  private KeyedCall resolve(HttpExchange exchange) {
    String key = KeyedCallRouter.keyOf(exchange);
    String fingerprint =
        DigestUtils.sha256Hex(
            exchange.method()
                + ' '
                + exchange.target()
                + '\n'
                + DigestUtils.sha256Hex(exchange.body()));
    return switch (exchange.path()) {
      case COMPLETIONS -> completion(exchange, false, key, fingerprint);
      case CHAT -> completion(exchange, true, key, fingerprint);
      default ->
          new KeyedCall(
              "services/" + ServiceApi.serviceOf(exchange) + '/' + key,
              fingerprint,
              () -> services.run(exchange, true));
    };
  }

  private KeyedCall completion(
      HttpExchange exchange, boolean chat, String key, String fingerprint) {
    CompletionCall call = completions.parse(exchange, chat);
    return new KeyedCall(
        "completions/" + call.model() + '/' + key,
        fingerprint,
        () -> completions.runOnce(call, exchange));
  }
}
