package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * An in-memory table service with serializable transactions.
 *
 * <p>The version of a row increases by one with each put. A deleted row is kept without a value, so
 * that its version continues to increase if it is created again. A transaction first compares the
 * expected versions of all its checks and puts with the rows, and applies the puts only if there is
 * no conflict. For example, if two transactions put key {@code a} with {@code expectedVersion} 3,
 * only one commits: the other one finds version 4.
 */
public final class TableServiceStandin {
  private static final int DEFAULT_LIMIT = 1_000;

  /** A row; {@code value} is null if the row is deleted. */
  private record Row(long version, JsonNode value) {
    static final Row NONE = new Row(0, null);

    long visibleVersion() {
      return value == null ? 0 : version;
    }
  }

  private final Map<String, NavigableMap<String, Row>> tables = new TreeMap<>();
  private long reads;
  private long writes;

  TableServiceStandin() {}

  /** Returns the number of reads so far. */
  public synchronized long reads() {
    return reads;
  }

  /** Returns the number of transactions so far. */
  public synchronized long writes() {
    return writes;
  }

  /** Handles a request to {@code /tables}. */
  HttpResponse read(HttpExchange exchange, String[] segments) {
    if (segments.length == 4 && segments[2].equals("rows")) {
      return readRow(segments[1], segments[3]);
    }
    if (segments.length == 3 && segments[2].equals("rows")) {
      return readRange(exchange, segments[1]);
    }
    return HttpUtils.error(404, "not-found", "no such path");
  }

  private synchronized HttpResponse readRow(String table, String key) {
    reads++;
    Row row = row(table, key);
    if (row.value() == null) {
      return HttpUtils.error(404, "not-found", "no such row");
    }
    return HttpResponse.json(200, toJson(key, row));
  }

  private synchronized HttpResponse readRange(HttpExchange exchange, String table) {
    reads++;
    String prefix = parameter(exchange, "prefix", "");
    String after = parameter(exchange, "after", "");
    int limit = Integer.parseInt(parameter(exchange, "limit", "" + DEFAULT_LIMIT));
    ArrayNode rows = Json.mapper().createArrayNode();
    String firstKey = after.compareTo(prefix) > 0 ? after : prefix;
    for (Map.Entry<String, Row> entry : table(table).tailMap(firstKey, true).entrySet()) {
      String key = entry.getKey();
      if (!key.startsWith(prefix) || rows.size() >= limit) {
        break;
      }
      if (entry.getValue().value() != null && !(key.equals(after) && !after.isEmpty())) {
        rows.add(toJson(key, entry.getValue()));
      }
    }
    return HttpResponse.json(200, Json.object().set("rows", rows));
  }

  private static String parameter(HttpExchange exchange, String name, String defaultValue) {
    String value = exchange.queryParam(name);
    return value == null ? defaultValue : value;
  }

  /** Handles {@code POST /transactions}. */
  synchronized HttpResponse transact(JsonNode transaction) {
    writes++;
    ArrayNode conflicts = Json.mapper().createArrayNode();
    collectConflicts(transaction.path("checks"), conflicts);
    collectConflicts(transaction.path("puts"), conflicts);
    ObjectNode response = Json.object().put("committed", conflicts.isEmpty());
    if (!conflicts.isEmpty()) {
      return HttpResponse.json(409, response.set("conflicts", conflicts));
    }
    ArrayNode versions = response.putArray("versions");
    for (JsonNode put : transaction.path("puts")) {
      versions.add(put(put));
    }
    return HttpResponse.json(200, response);
  }

  private void collectConflicts(JsonNode conditions, ArrayNode conflicts) {
    for (JsonNode condition : conditions) {
      JsonNode expected = condition.path("expectedVersion");
      String table = condition.path("table").asText();
      String key = condition.path("key").asText();
      long version = row(table, key).visibleVersion();
      if (expected.isNumber() && expected.asLong() != version) {
        conflicts.add(Json.object().put("table", table).put("key", key).put("version", version));
      }
    }
  }

  private long put(JsonNode put) {
    String table = put.path("table").asText();
    String key = put.path("key").asText();
    JsonNode value = put.path("value");
    long version = row(table, key).version() + 1;
    boolean deletes = value.isNull() || value.isMissingNode();
    table(table).put(key, new Row(version, deletes ? null : value));
    return version;
  }

  private Row row(String table, String key) {
    return table(table).getOrDefault(key, Row.NONE);
  }

  private NavigableMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, any -> new TreeMap<>());
  }

  private static ObjectNode toJson(String key, Row row) {
    return Json.object().put("key", key).put("version", row.version()).set("value", row.value());
  }
}
