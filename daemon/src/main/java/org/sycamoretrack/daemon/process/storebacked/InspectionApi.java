package org.sycamoretrack.daemon.process.storebacked;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.request.ErrorResponses;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * The read-only HTTP API for operators: {@code GET /metrics} returns metrics in Prometheus text
 * format, {@code GET /state} the state dump of the node as JSON.
 */
final class InspectionApi implements HttpHandler {
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final int OK = 200;

  private final Supplier<String> metrics;
  private final Supplier<CompletionStage<JsonNode>> state;

  /**
   * Creates the handler.
   *
   * @param metrics returns the metrics as Prometheus text
   * @param state returns the state dump
   */
  InspectionApi(Supplier<String> metrics, Supplier<CompletionStage<JsonNode>> state) {
    this.metrics = metrics;
    this.state = state;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (!exchange.method().equals("GET")) {
      fail(exchange, ErrorCode.METHOD_NOT_ALLOWED, "only GET is supported");
      return;
    }
    switch (exchange.path()) {
      case "/metrics" -> exchange.respond(HttpResponse.text(OK, METRICS_TYPE, metrics.get()));
      case "/state" ->
          state
              .get()
              .whenComplete(
                  Failures.loggingExceptions(
                      (json, failure) -> {
                        if (failure == null) {
                          exchange.respond(HttpResponse.json(OK, json));
                        } else {
                          fail(exchange, ErrorCode.INTERNAL, failure.toString());
                        }
                      }));
      default -> fail(exchange, ErrorCode.NOT_FOUND, "no resource at path " + exchange.path());
    }
  }

  private static void fail(HttpExchange exchange, ErrorCode code, String message) {
    exchange.respond(HttpResponse.json(code.httpStatus(), ErrorResponses.body(code, message)));
  }
}
