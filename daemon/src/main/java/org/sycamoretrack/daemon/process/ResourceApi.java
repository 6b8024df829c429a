package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.core.version.Selector;
import org.sycamoretrack.daemon.request.ErrorResponses;
import org.sycamoretrack.daemon.version.Change;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.daemon.version.Precondition;
import org.sycamoretrack.daemon.version.ResourceCodec;
import org.sycamoretrack.daemon.version.VersionConflictException;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** Handles requests of operators to read and change resources. */
final class ResourceApi {
  private static final String ANY_TAG = "*";

  private final ConfigurationService service;

  ResourceApi(ConfigurationService service) {
    this.service = service;
  }

  HttpResponse configuration() {
    Configuration current = service.current();
    ObjectNode body = Json.object().put("version", current.version());
    body.set("resources", ResourceCodec.writeAll(current.resources()));
    return HttpResponse.json(200, body);
  }

  /**
   * Validates resources as if all of them were accepted, and returns them with defaults filled in.
   */
  HttpResponse validate(byte[] body) {
    JsonNode resources = parse(body).path("resources");
    if (!resources.isArray()) {
      throw OperatorApi.invalid("/resources: must be an array of resources");
    }
    ObjectNode responseBody = Json.object();
    responseBody.set("resources", ResourceCodec.writeAll(service.validate(resources)));
    return HttpResponse.json(200, responseBody);
  }

  /** Handles a request to {@code kind} or {@code kind/name}. */
  void handle(HttpExchange exchange, String path) {
    String[] parts = path.split("/", -1);
    ResourceKind kind =
        ResourceKind.ofWireName(parts[0])
            .orElseThrow(() -> OperatorApi.notFound("no resource kind " + parts[0]));
    if (parts.length == 1) {
      list(exchange, kind);
    } else if (parts.length == 2 && !parts[1].isEmpty()) {
      handle(exchange, new ResourceKey(kind, decode(parts[1])));
    } else {
      throw OperatorApi.notFound("no resource at path " + path);
    }
  }

  private static String decode(String encoded) {
    try {
      return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw OperatorApi.invalid("the resource name has invalid percent-encoding");
    }
  }

  private void list(HttpExchange exchange, ResourceKind kind) {
    if (!exchange.method().equals("GET")) {
      throw OperatorApi.methodNotAllowed(exchange.method());
    }
    Configuration current = service.current();
    List<Resource> items = current.select(kind, selector(exchange.queryParam("selector")));
    ObjectNode body = Json.object().put("version", current.version());
    body.set("items", ResourceCodec.writeAll(items));
    exchange.respond(HttpResponse.json(200, body));
  }

  private static Selector selector(String json) {
    return json == null
        ? Selector.EVERYTHING
        : ResourceCodec.parseSelector(parse(json.getBytes(StandardCharsets.UTF_8)));
  }

  private static JsonNode parse(byte[] bytes) {
    try {
      return Json.parse(bytes);
    } catch (IllegalArgumentException e) {
      throw OperatorApi.invalid(e.getMessage());
    }
  }

  private void handle(HttpExchange exchange, ResourceKey key) {
    switch (exchange.method()) {
      case "GET" -> get(exchange, key);
      case "PUT" -> put(exchange, key);
      case "DELETE" -> delete(exchange, key);
      default -> throw OperatorApi.methodNotAllowed(exchange.method());
    }
  }

  private void get(HttpExchange exchange, ResourceKey key) {
    Resource resource =
        service
            .current()
            .resource(key.kind(), key.name())
            .orElseThrow(() -> OperatorApi.notFound("no resource " + key));
    exchange.respond(withEtag(resource));
  }

  private void put(HttpExchange exchange, ResourceKey key) {
    if (!(parse(exchange.body()) instanceof ObjectNode json)) {
      throw OperatorApi.invalid("a resource must be a JSON object");
    }
    requireSame(json, "kind", key.kind().wireName());
    requireSame(json, "name", key.name());
    Change change = new Change.Put(ResourceCodec.parse(json), precondition(exchange));
    respondWhenChanged(
        exchange,
        service.change(change),
        after -> withEtag(after.resource(key.kind(), key.name()).orElseThrow()));
  }

  /** Fills in a field from the path, and rejects a body that contradicts the path. */
  private static void requireSame(ObjectNode json, String field, String expected) {
    if (!json.has(field)) {
      json.put(field, expected);
    } else if (!expected.equals(json.get(field).textValue())) {
      throw OperatorApi.invalid("/" + field + ": does not match the path");
    }
  }

  private void delete(HttpExchange exchange, ResourceKey key) {
    respondWhenChanged(
        exchange,
        service.change(new Change.Delete(key, precondition(exchange))),
        after -> HttpResponse.json(200, Json.object().put("version", after.version())));
  }

  private static Precondition precondition(HttpExchange exchange) {
    String match = exchange.headers().get("if-match");
    String noneMatch = exchange.headers().get("if-none-match");
    if (noneMatch != null) {
      if (match != null || !noneMatch.trim().equals(ANY_TAG)) {
        throw OperatorApi.invalid("If-None-Match must be * and cannot be combined with If-Match");
      }
      return new Precondition.Absent();
    }
    return match == null ? new Precondition.Any() : new Precondition.AtVersion(version(match));
  }

  private static long version(String tag) {
    try {
      return Long.parseLong(tag.trim().replace("\"", ""));
    } catch (NumberFormatException e) {
      throw OperatorApi.invalid("If-Match must be the ETag of a resource");
    }
  }

  /** Creates the response to an accepted change. */
  @FunctionalInterface
  private interface AcceptedResponse {
    HttpResponse of(Configuration after);
  }

  private static void respondWhenChanged(
      HttpExchange exchange, CompletionStage<Configuration> change, AcceptedResponse accepted) {
    change.whenComplete(
        (after, failure) ->
            exchange.respond(failure == null ? accepted.of(after) : errorResponse(failure)));
  }

  private static HttpResponse errorResponse(Throwable failure) {
    if (!(failure instanceof VersionConflictException conflict)) {
      return ErrorResponses.response(ErrorResponses.toError(failure));
    }
    ObjectNode body =
        ErrorResponses.body(
            new SycamoreException(
                ErrorCode.VERSION_CONFLICT, ExecutionOutcome.NOT_RUN, conflict.getMessage()));
    body.set("current", conflict.current().map(ResourceCodec::write).orElse(null));
    return HttpResponse.json(ErrorCode.VERSION_CONFLICT.httpStatus(), body);
  }

  private static HttpResponse withEtag(Resource resource) {
    HttpResponse plain = HttpResponse.json(200, ResourceCodec.write(resource));
    Map<String, String> headers = new HashMap<>(plain.headers());
    headers.put("etag", "\"" + resource.version() + "\"");
    return new HttpResponse(plain.status(), headers, plain.body());
  }
}
