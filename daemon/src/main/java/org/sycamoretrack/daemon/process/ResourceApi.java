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
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.core.version.Selector;
import org.sycamoretrack.daemon.request.ErrorAnswers;
import org.sycamoretrack.daemon.version.Change;
import org.sycamoretrack.daemon.version.ConfigurationService;
import org.sycamoretrack.daemon.version.Precondition;
import org.sycamoretrack.daemon.version.ResourceCodec;
import org.sycamoretrack.daemon.version.VersionConflict;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/** Reads and changes resources for operators. */
final class ResourceApi {
  private static final String ANY_TAG = "*";

  private final ConfigurationService service;

  ResourceApi(ConfigurationService service) {
    this.service = service;
  }

  HttpAnswer configuration() {
    Configuration current = service.current();
    ObjectNode body = Json.object().put("version", current.version());
    body.set("resources", ResourceCodec.writeAll(current.resources()));
    return HttpAnswer.json(200, body);
  }

  /** Checks resources as if they were all accepted, and answers them with defaults filled in. */
  HttpAnswer validate(byte[] body) {
    JsonNode resources = parse(body).path("resources");
    if (!resources.isArray()) {
      throw OperatorApi.invalid("/resources: a list of resources is needed");
    }
    ObjectNode answer = Json.object();
    answer.set("resources", ResourceCodec.writeAll(service.validate(resources)));
    return HttpAnswer.json(200, answer);
  }

  /** Handles a call on {@code kind} or {@code kind/name}. */
  void handle(HttpExchange exchange, String path) {
    String[] parts = path.split("/", -1);
    ResourceKind kind =
        ResourceKind.ofWireName(parts[0])
            .orElseThrow(() -> OperatorApi.notFound("there is no kind " + parts[0]));
    if (parts.length == 1) {
      list(exchange, kind);
    } else if (parts.length == 2 && !parts[1].isEmpty()) {
      handle(exchange, new ResourceKey(kind, decode(parts[1])));
    } else {
      throw OperatorApi.notFound("there is nothing at " + path);
    }
  }

  private static String decode(String encoded) {
    try {
      return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw OperatorApi.invalid("the name is not percent-encoded");
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
    exchange.respond(HttpAnswer.json(200, body));
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
            .orElseThrow(() -> OperatorApi.notFound("there is no " + key));
    exchange.respond(withEtag(resource));
  }

  private void put(HttpExchange exchange, ResourceKey key) {
    if (!(parse(exchange.body()) instanceof ObjectNode json)) {
      throw OperatorApi.invalid("a resource is a JSON object");
    }
    requireSame(json, "kind", key.kind().wireName());
    requireSame(json, "name", key.name());
    Change change = new Change.Put(ResourceCodec.parse(json), precondition(exchange));
    respondWhenChanged(
        exchange,
        service.change(change),
        after -> withEtag(after.resource(key.kind(), key.name()).orElseThrow()));
  }

  /** Takes kind and name from the path, and refuses a body that says otherwise. */
  private static void requireSame(ObjectNode json, String field, String expected) {
    if (!json.has(field)) {
      json.put(field, expected);
    } else if (!expected.equals(json.get(field).textValue())) {
      throw OperatorApi.invalid("/" + field + ": differs from the path");
    }
  }

  private void delete(HttpExchange exchange, ResourceKey key) {
    respondWhenChanged(
        exchange,
        service.change(new Change.Delete(key, precondition(exchange))),
        after -> HttpAnswer.json(200, Json.object().put("version", after.version())));
  }

  private static Precondition precondition(HttpExchange exchange) {
    String match = exchange.headers().get("if-match");
    String noneMatch = exchange.headers().get("if-none-match");
    if (noneMatch != null) {
      if (match != null || !noneMatch.trim().equals(ANY_TAG)) {
        throw OperatorApi.invalid("If-None-Match takes * only, and not with If-Match");
      }
      return new Precondition.Absent();
    }
    return match == null ? new Precondition.Any() : new Precondition.AtVersion(version(match));
  }

  private static long version(String tag) {
    try {
      return Long.parseLong(tag.trim().replace("\"", ""));
    } catch (NumberFormatException e) {
      throw OperatorApi.invalid("If-Match takes the ETag of a resource");
    }
  }

  /** Makes the answer to a change that was accepted. */
  @FunctionalInterface
  private interface AcceptedResponse {
    HttpAnswer of(Configuration after);
  }

  private static void respondWhenChanged(
      HttpExchange exchange, CompletionStage<Configuration> change, AcceptedResponse accepted) {
    change.whenComplete(
        (after, failure) ->
            exchange.respond(failure == null ? accepted.of(after) : errorResponse(failure)));
  }

  private static HttpAnswer errorResponse(Throwable failure) {
    if (!(failure instanceof VersionConflict conflict)) {
      return ErrorAnswers.answer(ErrorAnswers.toError(failure));
    }
    ObjectNode body =
        ErrorAnswers.body(
            new SycamoreException(
                ErrorCode.VERSION_CONFLICT, Outcome.NOT_RUN, conflict.getMessage()));
    body.set("current", conflict.current().map(ResourceCodec::write).orElse(null));
    return HttpAnswer.json(ErrorCode.VERSION_CONFLICT.httpStatus(), body);
  }

  private static HttpAnswer withEtag(Resource resource) {
    HttpAnswer plain = HttpAnswer.json(200, ResourceCodec.write(resource));
    Map<String, String> headers = new HashMap<>(plain.headers());
    headers.put("etag", "\"" + resource.version() + "\"");
    return new HttpAnswer(plain.status(), headers, plain.body());
  }
}
