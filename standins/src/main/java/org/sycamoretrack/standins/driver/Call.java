package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpRequest;

/**
 * One call of a caller and the response that it expects.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param body the JSON body, or null
 * @param key the idempotency key, or null
 * @param repeatable whether it may be executed more than once
 * @param prompt the prompt of a completion, or null
 * @param expected the text of the complete response
 */
record Call(
    String method,
    String target,
    ObjectNode body,
    String key,
    boolean repeatable,
    String prompt,
    String expected) {

  /** Creates the call with the given sequence number. */
  static Call of(Deployment.Caller caller, Deployment deployment, int number) {
    return switch (caller.kind()) {
      case lookup -> lookup(caller, number);
      case booking -> booking(caller, number);
      case completion -> completion(caller, deployment.pool(caller.target()), number);
    };
  }

  private static Call lookup(Deployment.Caller caller, int number) {
    String path = "/pallets/" + caller.name() + "-" + number;
    String target = "/services/" + caller.target() + path;
    return new Call("GET", target, null, null, true, null, "GET " + path);
  }

  private static Call booking(Deployment.Caller caller, int number) {
    String id = caller.name() + "-" + number;
    String target = "/services/" + caller.target() + "/bookings";
    ObjectNode body = Json.object().put("stall", id);
    return new Call("POST", target, body, id, false, null, "POST /bookings " + body);
  }

  private static Call completion(Deployment.Caller caller, Deployment.Pool pool, int number) {
    String prompt = caller.name() + " question " + number;
    SimulatedCompletion completion = new SimulatedCompletion(prompt, number, pool.medianTokens());
    int tokens = Math.min(caller.maxTokens(), completion.naturalTokens());
    ObjectNode body =
        Json.object()
            .put("model", pool.name())
            .put("prompt", prompt)
            .put("max_tokens", caller.maxTokens())
            .put("seed", number)
            .put("stream", number % 2 == 0);
    return new Call("POST", "/v1/completions", body, null, true, prompt, completion.text(tokens));
  }

  /** Returns the HTTP request for one attempt. */
  HttpRequest request(InetSocketAddress address, String requestId, int timeoutMs) {
    HttpRequest.Builder builder =
        HttpRequest.builder(method, address, target)
            .header("x-request-id", requestId)
            .header("x-deadline-ms", Integer.toString(timeoutMs))
            .timeoutMs(timeoutMs);
    if (key != null) {
      builder.header("idempotency-key", key);
    }
    return (body == null ? builder : builder.json(body)).build();
  }

  /** Formats the response of a plain service for comparison with {@link #expected}. */
  static String serviceText(JsonNode response) {
    String text = response.path("method").asText() + " " + response.path("target").asText();
    JsonNode body = response.path("body");
    return body.isObject() && !body.isEmpty() ? text + " " + body : text;
  }
}
