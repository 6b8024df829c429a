package org.sycamoretrack.daemon.client;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.transport.process.Json;

/**
 * An in-memory table service whose calls stay pending until the test decides the result of each.
 * Values are serialized as JSON text, as over HTTP.
 */
public final class FakeTableStore implements TableStore {
  /** The simulated result of a call. */
  public enum CallResult {
    /** The call takes effect and its response arrives. */
    DONE,
    /** The call takes effect but its response is lost. */
    RESPONSE_LOST,
    /** The call is lost and never takes effect. */
    NEVER_ARRIVES,
    /** The caller gets no response; the call takes effect later, in {@link #applyLateCalls}. */
    LATE,
    /** The call is refused and not executed. */
    REFUSED
  }

  /** A pending call. */
  public static final class Call {
    /** The transaction, null for reads. */
    public final Transaction transaction;

    private final Runnable applyAndRespond;
    private final Runnable apply;
    private final CompletableFuture<?> response;

    private <T> Call(Transaction transaction, Supplier<T> effect, CompletableFuture<T> response) {
      this.transaction = transaction;
      this.applyAndRespond = () -> response.complete(effect.get());
      this.apply = () -> Objects.requireNonNull(effect.get());
      this.response = response;
    }

    /** Returns whether the call writes to a table. */
    public boolean writesTo(String table) {
      return transaction != null
          && transaction.puts().stream().anyMatch(put -> put.table().equals(table));
    }
  }

  private record StoredRow(long version, String value) {}

  private final Map<String, NavigableMap<String, StoredRow>> tables;
  private final List<Call> pendingCalls = new ArrayList<>();
  private final List<Call> lateCalls = new ArrayList<>();

  /** Creates an empty table service. */
  public FakeTableStore() {
    this.tables = new HashMap<>();
  }

  /** Creates another client, with its own pending calls, of the same tables. */
  public FakeTableStore(FakeTableStore sameTables) {
    this.tables = sameTables.tables;
  }

  /** Returns the pending calls, oldest first. */
  public List<Call> pendingCalls() {
    return pendingCalls;
  }

  /** Executes all pending calls and those that their callers make in turn. */
  public void completeAll() {
    while (!pendingCalls.isEmpty()) {
      complete(pendingCalls.getFirst(), CallResult.DONE);
    }
  }

  /** Completes a pending call with the given result. */
  public void complete(Call call, CallResult result) {
    pendingCalls.remove(call);
    switch (result) {
      case DONE -> call.applyAndRespond.run();
      case RESPONSE_LOST -> {
        call.apply.run();
        fail(call, ExecutionOutcome.UNKNOWN);
      }
      case NEVER_ARRIVES -> fail(call, ExecutionOutcome.UNKNOWN);
      case LATE -> {
        lateCalls.add(call);
        fail(call, ExecutionOutcome.UNKNOWN);
      }
      case REFUSED -> fail(call, ExecutionOutcome.NOT_RUN);
    }
  }

  private static void fail(Call call, ExecutionOutcome outcome) {
    call.response.completeExceptionally(
        new SycamoreException(ErrorCode.PLATFORM_UNAVAILABLE, outcome, "simulated fault"));
  }

  /** Executes the delayed calls. */
  public void applyLateCalls() {
    lateCalls.forEach(call -> call.apply.run());
    lateCalls.clear();
  }

  /** Returns the rows of a table whose keys start with a prefix. */
  public List<Row> rows(String table, String prefix) {
    return scanNow(table, prefix, "", Integer.MAX_VALUE);
  }

  private <T> CompletionStage<T> add(Transaction transaction, Supplier<T> effect) {
    CompletableFuture<T> response = new CompletableFuture<>();
    pendingCalls.add(new Call(transaction, effect, response));
    return response;
  }

  @Override
  public CompletionStage<Optional<Row>> read(String table, String key) {
    return add(null, () -> Optional.ofNullable(row(table, key)));
  }

  @Override
  public CompletionStage<List<Row>> scan(String table, String prefix, String after, int limit) {
    return add(null, () -> scanNow(table, prefix, after, limit));
  }

  @Override
  public CompletionStage<TransactionResult> transact(Transaction transaction) {
    return add(transaction, () -> transactNow(transaction));
  }

  private List<Row> scanNow(String table, String prefix, String after, int limit) {
    List<Row> rows = new ArrayList<>();
    for (String key : table(table).keySet()) {
      Row row = row(table, key);
      if (key.startsWith(prefix)
          && key.compareTo(after) > 0
          && row != null
          && rows.size() < limit) {
        rows.add(row);
      }
    }
    return rows;
  }

  private TransactionResult transactNow(Transaction transaction) {
    List<TransactionResult.ConflictingRow> conflicts = new ArrayList<>();
    transaction
        .checks()
        .forEach(check -> check(check.table(), check.key(), check.expectedVersion(), conflicts));
    transaction
        .puts()
        .forEach(put -> check(put.table(), put.key(), put.expectedVersion(), conflicts));
    if (!conflicts.isEmpty()) {
      return new TransactionResult.Conflict(conflicts);
    }
    return new TransactionResult.Committed(transaction.puts().stream().map(this::put).toList());
  }

  private void check(
      String table, String key, long expected, List<TransactionResult.ConflictingRow> conflicts) {
    Row row = row(table, key);
    long version = row == null ? 0 : row.version();
    if (expected != Transaction.ANY && expected != version) {
      conflicts.add(new TransactionResult.ConflictingRow(table, key, version));
    }
  }

  private long put(Transaction.Put put) {
    StoredRow before = table(put.table()).get(put.key());
    long version = before == null ? 1 : before.version() + 1;
    String value = put.value() == null ? null : new String(Json.toBytes(put.value()), UTF_8);
    table(put.table()).put(put.key(), new StoredRow(version, value));
    return version;
  }

  private Row row(String table, String key) {
    StoredRow row = table(table).get(key);
    if (row == null || row.value() == null) {
      return null;
    }
    JsonNode value = Json.parse(row.value().getBytes(UTF_8));
    return new Row(key, row.version(), value);
  }

  private NavigableMap<String, StoredRow> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }
}
