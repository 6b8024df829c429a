package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/** HTTP client for the tests of the stand-ins. */
final class StandinClient implements AutoCloseable {
  private static final int TIMEOUT_MS = 3_000;

  /** A completion assembled from the chunks of a stream. */
  record Completion(String text, List<Integer> versions, boolean done) {}

  private final EventLoopGroup group = EventLoops.start("test", 1);
  private final HttpClient client = new HttpClient(group, TIMEOUT_MS);

  CompletableFuture<HttpResponse> send(
      String method, InetSocketAddress address, String target, String json) {
    return client.call(
        HttpRequest.builder(method, address, target)
            .body(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8))
            .timeoutMs(TIMEOUT_MS)
            .build());
  }

  HttpResponse call(String method, InetSocketAddress address, String target, String json) {
    return send(method, address, target, json).join();
  }

  JsonNode get(InetSocketAddress address, String target) {
    return call("GET", address, target, "").json();
  }

  CompletableFuture<Completion> complete(InetSocketAddress engine, String json) {
    return send("POST", engine, "/v1/completions", json).thenApply(StandinClient::parseCompletion);
  }

  private static Completion parseCompletion(HttpResponse response) {
    StringBuilder text = new StringBuilder();
    List<Integer> versions = new ArrayList<>();
    String body = new String(response.body(), StandardCharsets.UTF_8);
    for (String event : body.split("\n\n", 0)) {
      if (event.startsWith("data: {")) {
        JsonNode chunk = Json.parse(event.substring(6).getBytes(StandardCharsets.UTF_8));
        text.append(chunk.at("/choices/0/text").asText());
        versions.add(chunk.path("weight_version").asInt());
      }
    }
    return new Completion(text.toString(), versions, body.endsWith("data: [DONE]\n\n"));
  }

  /** Polls until a condition holds; the timeout of the test limits the wait. */
  static void pollUntil(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      LockSupport.parkNanos(1_000_000);
    }
  }

  @Override
  public void close() {
    EventLoops.stop(group);
  }
}
