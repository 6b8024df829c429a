package org.sycamoretrack.standins.process;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** An in-memory object store. */
final class ObjectStoreStandin {
  private static final String PATH = "/objects/";

  private final TreeMap<String, byte[]> objects = new TreeMap<>();

  /** Handles a request to {@code /objects}. */
  synchronized HttpResponse handle(HttpExchange exchange) {
    if (!exchange.path().startsWith(PATH)) {
      return list(exchange.queryParam("prefix"));
    }
    String key =
        String.join("/", List.of(HttpUtils.segments(exchange.path()))).substring(PATH.length() - 1);
    return switch (exchange.method()) {
      case "PUT" -> put(exchange, key);
      case "DELETE" -> {
        objects.remove(key);
        yield HttpResponse.json(200, Map.of());
      }
      default -> get(key);
    };
  }

  private HttpResponse list(String prefix) {
    String keyPrefix = prefix == null ? "" : prefix;
    List<String> keys =
        objects.tailMap(keyPrefix).keySet().stream()
            .takeWhile(key -> key.startsWith(keyPrefix))
            .toList();
    return HttpResponse.json(200, Map.of("keys", keys));
  }

  private HttpResponse put(HttpExchange exchange, String key) {
    boolean onlyNew = "*".equals(exchange.headers().get("if-none-match"));
    if (onlyNew && objects.containsKey(key)) {
      return HttpUtils.error(412, "version-conflict", "the object already exists");
    }
    objects.put(key, exchange.body());
    return HttpResponse.json(200, Map.of());
  }

  private HttpResponse get(String key) {
    byte[] body = objects.get(key);
    if (body == null) {
      return HttpUtils.error(404, "not-found", "no such object");
    }
    return new HttpResponse(200, Map.of("content-type", "application/octet-stream"), body);
  }
}
