package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.BitSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A node that serves trainers and callers on one port. Its first responses have a configurable
 * fault, all others are correct.
 */
final class FakeNode implements AutoCloseable {
  /** Fault of the first responses. */
  enum Fault {
    NONE,
    STEP_UNKNOWN,
    SERVER_ERROR,
    BROKEN,
    SILENT,
    SAMPLE_TWICE,
    STALE_SAMPLE,
    SPANS_SHORT,
    UNPUBLISHED_VERSION,
    WRONG_TEXT,
    CUT_TEXT,
    REFUSED_NOT_RUN,
    REFUSED_UNKNOWN,
    CLAIM_UNSETTLED
  }

  private final HttpServer server;
  private final Fault fault;
  private final AtomicInteger faultsLeft;
  private JsonNode spec;

  FakeNode(EventLoopGroup group, Fault fault, int times) {
    this.fault = fault;
    this.faultsLeft = new AtomicInteger(times);
    this.server =
        HttpServer.builder()
            .group(group)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .handler(this::handle)
            .start();
  }

  NodeAddress address(String nodeId, String zone) {
    InetSocketAddress address = server.address();
    return new NodeAddress(nodeId, zone, address, address, address);
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().startsWith("/v1/tracks") && !exchange.path().endsWith("/poll")) {
      spec = exchange.method().equals("PUT") ? Json.parse(exchange.body()) : null;
      exchange.respond(HttpResponse.json(200, Json.object()));
      return;
    }
    boolean faulty = fault != Fault.NONE && faultsLeft.getAndDecrement() > 0;
    switch (faulty ? fault : Fault.NONE) {
      case STEP_UNKNOWN -> exchange.respond(error(404, "step-unknown", "not-run"));
      case SERVER_ERROR -> exchange.respond(error(500, "internal", "unknown"));
      case REFUSED_NOT_RUN -> exchange.respond(error(429, "overloaded", "not-run"));
      case REFUSED_UNKNOWN -> exchange.respond(error(502, "endpoint-failed", "unknown"));
      case CLAIM_UNSETTLED -> exchange.respond(error(409, "claim-unsettled", "unknown"));
      case BROKEN -> exchange.abort();
      case SILENT -> {
        // No response; the caller times out.
      }
      default -> exchange.respond(responseTo(exchange, faulty ? fault : Fault.NONE));
    }
  }

  private static HttpResponse error(int status, String code, String outcome) {
    ObjectNode json = Json.object();
    json.putObject("error").put("code", code).put("outcome", outcome).put("message", "fake");
    return HttpResponse.json(status, json);
  }

  private HttpResponse responseTo(HttpExchange exchange, Fault active) {
    if (exchange.path().endsWith("/poll")) {
      return pollResponse(Json.parse(exchange.body()), active);
    }
    if (exchange.path().startsWith("/services/")) {
      String target = exchange.path().substring(exchange.path().indexOf('/', 10));
      ObjectNode json = Json.object().put("method", exchange.method());
      json.put("target", active == Fault.WRONG_TEXT ? "/other" : target);
      return HttpResponse.json(
          200, exchange.body().length == 0 ? json : json.set("body", Json.parse(exchange.body())));
    }
    JsonNode body = Json.parse(exchange.body());
    int tokens = body.path("max_tokens").asInt() - (active == Fault.CUT_TEXT ? 1 : 0);
    SimulatedCompletion completion =
        new SimulatedCompletion(body.path("prompt").asText(), body.path("seed").asLong(), 0);
    return body.path("stream").asBoolean()
        ? streamedResponse(completion.text(tokens), tokens)
        : wholeResponse(completion.text(tokens), tokens);
  }

  private static HttpResponse wholeResponse(String text, int tokens) {
    ObjectNode json = Json.object();
    json.putArray("choices").addObject().put("text", text).put("finish_reason", "length");
    json.putObject("usage").put("completion_tokens", tokens);
    return HttpResponse.json(200, json);
  }

  private static HttpResponse streamedResponse(String text, int tokens) {
    ObjectNode json = Json.object().put("tokens", tokens);
    json.putArray("choices").addObject().put("text", text).put("finish_reason", "length");
    return HttpResponse.text(200, "text/event-stream", "data: " + json + "\n\ndata: [DONE]\n\n");
  }

  private HttpResponse pollResponse(JsonNode poll, Fault active) {
    BitSet received = BitSet.valueOf(Base64.getDecoder().decode(poll.path("received").asText()));
    ObjectNode json = Json.object();
    ArrayNode samples = json.putArray("samples");
    int slots = spec.path("groups").size() * spec.path("groups").path(0).path("samples").asInt();
    for (int slot = 0; slot < slots; slot++) {
      if (!received.get(slot)) {
        addSample(samples, slot, active);
      }
    }
    return HttpResponse.json(200, json);
  }

  private void addSample(ArrayNode samples, int slot, Fault active) {
    long version = spec.path("trainsVersion").asLong();
    version -= active == Fault.STALE_SAMPLE ? 2 : 0;
    version += active == Fault.UNPUBLISHED_VERSION ? 100 : 0;
    int end = active == Fault.SPANS_SHORT ? 1 : 2;
    for (int i = 0; i < (active == Fault.SAMPLE_TWICE ? 2 : 1); i++) {
      ObjectNode sample =
          samples.addObject().put("slot", slot).put("text", " a b").put("tokens", 2);
      ArrayNode spans = sample.putArray("spans");
      spans.addObject().put("version", version).put("fromToken", 0).put("toToken", end);
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
