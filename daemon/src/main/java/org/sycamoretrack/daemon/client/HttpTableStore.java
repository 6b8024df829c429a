package org.sycamoretrack.daemon.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Calls the table service over HTTP with JSON. */
public final class HttpTableStore implements TableStore {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final ExternalServiceCalls calls;
  private final InetSocketAddress address;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param address the address of the table service
   * @param timeoutMs the timeout for each call, in milliseconds
   */
  public HttpTableStore(HttpClient client, InetSocketAddress address, int timeoutMs) {
    this.calls =
        new ExternalServiceCalls(
            client, "table service", ErrorCode.PLATFORM_UNAVAILABLE, timeoutMs);
    this.address = address;
  }

  @Override
  public CompletionStage<Optional<Row>> read(String table, String key) {
    String target =
        "/tables/"
            + ExternalServiceCalls.encode(table)
            + "/rows/"
            + ExternalServiceCalls.encode(key);
    return calls.call(
        calls.request("GET", address, target).build(),
        response -> {
          if (response.status() == NOT_FOUND) {
            return Optional.empty();
          }
          calls.requireOk(response);
          return Optional.of(readRow(response.json(), key));
        });
  }

  @Override
  public CompletionStage<List<Row>> scan(String table, String prefix, String after, int limit) {
    String target =
        "/tables/%s/rows?prefix=%s&after=%s&limit=%d"
            .formatted(
                ExternalServiceCalls.encode(table),
                ExternalServiceCalls.encode(prefix),
                ExternalServiceCalls.encode(after),
                limit);
    return calls.call(
        calls.request("GET", address, target).build(),
        response -> {
          calls.requireOk(response);
          return readRows(response.json(), prefix, after);
        });
  }

  private static List<Row> readRows(JsonNode body, String prefix, String after) {
    List<Row> rows = new ArrayList<>();
    String lastKey = after;
    for (JsonNode node : JsonFields.requireArray(body, "rows")) {
      String key = JsonFields.requireText(node, "key");
      if (!key.startsWith(prefix) || key.compareTo(lastKey) <= 0) {
        throw new IllegalArgumentException("a row doesn't match the prefix or is out of key order");
      }
      rows.add(readRow(node, key));
      lastKey = key;
    }
    return rows;
  }

  private static Row readRow(JsonNode node, String key) {
    if (!JsonFields.requireText(node, "key").equals(key)) {
      throw new IllegalArgumentException("the row has another key than the requested one");
    }
    long version = JsonFields.requireLong(node, "version");
    if (version <= 0 || !node.hasNonNull("value")) {
      throw new IllegalArgumentException("the row has no positive version or no value");
    }
    return new Row(key, version, node.get("value"));
  }

  @Override
  public CompletionStage<TransactionResult> transact(Transaction transaction) {
    return calls.call(
        calls.request("POST", address, "/transactions").json(write(transaction)).build(),
        response -> readResult(response, transaction));
  }

  private TransactionResult readResult(HttpResponse response, Transaction transaction) {
    if (response.status() != OK && response.status() != CONFLICT) {
      throw calls.unexpectedStatus(response);
    }
    JsonNode body = response.json();
    boolean committed = JsonFields.requireBoolean(body, "committed");
    if (committed != (response.status() == OK)) {
      throw new IllegalArgumentException(
          "status and body of the response to a transaction contradict each other");
    }
    return committed ? readCommitted(body, transaction.puts().size()) : readConflict(body);
  }

  private static TransactionResult readCommitted(JsonNode body, int puts) {
    List<Long> versions = new ArrayList<>();
    for (JsonNode version : JsonFields.requireArray(body, "versions")) {
      if (!version.isIntegralNumber()) {
        throw new IllegalArgumentException("an element of field versions is not an integer");
      }
      versions.add(version.longValue());
    }
    if (versions.size() != puts) {
      throw new IllegalArgumentException("the number of versions differs from the number of puts");
    }
    return new TransactionResult.Committed(versions);
  }

  private static TransactionResult readConflict(JsonNode body) {
    List<TransactionResult.ConflictingRow> rows = new ArrayList<>();
    for (JsonNode row : JsonFields.requireArray(body, "conflicts")) {
      rows.add(
          new TransactionResult.ConflictingRow(
              JsonFields.requireText(row, "table"),
              JsonFields.requireText(row, "key"),
              JsonFields.requireLong(row, "version")));
    }
    return new TransactionResult.Conflict(rows);
  }

  private static ObjectNode write(Transaction transaction) {
    ObjectNode body = Json.object().put("id", transaction.id());
    ArrayNode checks = body.putArray("checks");
    for (Transaction.Check check : transaction.checks()) {
      writeCondition(checks.addObject(), check.table(), check.key(), check.expectedVersion());
    }
    ArrayNode puts = body.putArray("puts");
    for (Transaction.Put put : transaction.puts()) {
      ObjectNode node = puts.addObject();
      writeCondition(node, put.table(), put.key(), put.expectedVersion());
      node.set("value", put.value() == null ? node.nullNode() : put.value());
    }
    return body;
  }

  private static void writeCondition(ObjectNode node, String table, String key, long expected) {
    node.put("table", table).put("key", key);
    if (expected == Transaction.ANY) {
      node.putNull("expectedVersion");
    } else {
      node.put("expectedVersion", expected);
    }
  }
}
