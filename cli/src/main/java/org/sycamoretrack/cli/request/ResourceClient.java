package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Reads and changes resources through the operator API. */
final class ResourceClient {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final OperatorClient client;

  ResourceClient(OperatorClient client) {
    this.client = client;
  }

  private static String target(String kind, String name) {
    return "/v1/resources/" + encode(kind) + "/" + encode(name);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Returns the resources of a kind that match a selector, or all if the selector is null. */
  JsonNode list(String kind, JsonNode selector) {
    String query = selector == null ? "" : "?selector=" + encode(selector.toString());
    return client.get("/v1/resources/" + encode(kind) + query).path("items");
  }

  /** Returns a resource, or null if it does not exist. */
  JsonNode find(String kind, String name) {
    HttpResponse response = client.callAny("GET", target(kind, name), null, Map.of());
    return response.status() == NOT_FOUND
        ? null
        : OperatorClient.requireSuccess(response, kind + "/" + name);
  }

  /** Returns a resource; fails if it does not exist. */
  JsonNode get(String kind, String name) {
    return client.get(target(kind, name));
  }

  /** Validates resources on a node, and returns them with default values filled in. */
  List<JsonNode> validate(List<JsonNode> resources) {
    ObjectNode body = Json.object();
    resources.forEach(body.putArray("resources")::add);
    HttpResponse response = client.callAny("POST", "/v1/validate", body, Map.of());
    List<JsonNode> normalized = new ArrayList<>();
    OperatorClient.requireSuccess(response, "resources").path("resources").forEach(normalized::add);
    return normalized;
  }

  /** Returns whether two resources have equal labels and specs, regardless of their versions. */
  static boolean hasSameContent(JsonNode first, JsonNode second) {
    return first.path("labels").equals(second.path("labels"))
        && first.path("spec").equals(second.path("spec"));
  }

  /**
   * Creates or changes a resource.
   *
   * @param expectedVersion the version that the resource must have; 0 for any
   */
  JsonNode put(JsonNode resource, long expectedVersion) {
    return change("PUT", ResourceFile.key(resource), resource, expectedVersion);
  }

  /** Removes a resource. */
  JsonNode delete(String kind, String name, long expectedVersion) {
    return change("DELETE", kind + "/" + name, null, expectedVersion);
  }

  private JsonNode change(String method, String key, JsonNode body, long expectedVersion) {
    int slash = key.indexOf('/');
    Map<String, String> headers =
        expectedVersion == 0 ? Map.of() : Map.of("if-match", "\"" + expectedVersion + "\"");
    HttpResponse response =
        client.callAny(
            method, target(key.substring(0, slash), key.substring(slash + 1)), body, headers);
    if (response.status() == CONFLICT) {
      throw conflict(key, expectedVersion, response.json().path("current"));
    }
    return OperatorClient.requireSuccess(response, key);
  }

  private static CliException conflict(String key, long expectedVersion, JsonNode current) {
    String state =
        current.isObject() ? "is at version " + current.path("version") : "does not exist";
    return new CliException(
        ExitCode.CONFLICT,
        "version-conflict",
        key
            + " "
            + state
            + ", but the change was made for version "
            + expectedVersion
            + "; current: "
            + current,
        "get the resource again and apply the change to it, or omit the version to overwrite it");
  }
}
