package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;

/** An in-memory table service. Each node has its own client, into which faults can be injected. */
final class InMemoryTable {
  private final Map<String, StoredRow> rows = new TreeMap<>();

  private record StoredRow(long version, JsonNode value) {}

  synchronized int size() {
    return (int) rows.values().stream().filter(row -> row.value() != null).count();
  }

  private synchronized Optional<TableStore.Row> read(String path, String key) {
    StoredRow row = rows.get(path);
    return row == null || row.value() == null
        ? Optional.empty()
        : Optional.of(new TableStore.Row(key, row.version(), row.value()));
  }

  private synchronized List<TableStore.Row> scan(
      String table, String prefix, String after, int limit) {
    List<TableStore.Row> found = new ArrayList<>();
    for (String path : rows.keySet()) {
      String key = path.substring(table.length() + 1);
      if (key.startsWith(prefix) && key.compareTo(after) > 0 && found.size() < limit) {
        read(path, key).ifPresent(found::add);
      }
    }
    return found;
  }

  private synchronized TransactionResult transact(Transaction transaction) {
    List<TransactionResult.ConflictingRow> conflicts = new ArrayList<>();
    for (Transaction.Put put : transaction.puts()) {
      StoredRow row = rows.get(path(put));
      long version = row == null || row.value() == null ? 0 : row.version();
      if (put.expectedVersion() != Transaction.ANY && put.expectedVersion() != version) {
        conflicts.add(new TransactionResult.ConflictingRow(put.table(), put.key(), version));
      }
    }
    if (!conflicts.isEmpty()) {
      return new TransactionResult.Conflict(conflicts);
    }
    List<Long> versions = new ArrayList<>();
    for (Transaction.Put put : transaction.puts()) {
      StoredRow before = rows.get(path(put));
      long version = before == null ? 1 : before.version() + 1;
      rows.put(path(put), new StoredRow(version, put.value()));
      versions.add(version);
    }
    return new TransactionResult.Committed(versions);
  }

  private static String path(Transaction.Put put) {
    return put.table() + "/" + put.key();
  }

  /** A fault of the next calls of a client. */
  enum Fault {
    /** No fault. */
    NONE,
    /** Each call is rejected and has no effect. */
    REFUSED,
    /** The next transaction takes effect, but its response is lost; then there is no fault. */
    RESPONSE_LOST_ONCE,
    /** The next transaction is lost without effect; then there is no fault. */
    REQUEST_LOST_ONCE
  }

  /** The client of one node. */
  final class Client implements TableStore {
    volatile Fault fault = Fault.NONE;
    volatile Runnable beforeTransaction = () -> {};
    volatile Runnable afterRead = () -> {};

    @Override
    public CompletionStage<Optional<TableStore.Row>> read(String table, String key) {
      return call(
          () -> {
            Optional<TableStore.Row> row = InMemoryTable.this.read(table + "/" + key, key);
            afterRead.run();
            return row;
          });
    }

    @Override
    public CompletionStage<List<TableStore.Row>> scan(
        String table, String prefix, String after, int limit) {
      return call(() -> InMemoryTable.this.scan(table, prefix, after, limit));
    }

    private <T> CompletionStage<T> call(Supplier<T> call) {
      return CompletableFuture.supplyAsync(
          () -> {
            if (fault == Fault.REFUSED) {
              throw failure(ExecutionOutcome.NOT_RUN);
            }
            return call.get();
          });
    }

    @Override
    public CompletionStage<TransactionResult> transact(Transaction transaction) {
      return CompletableFuture.supplyAsync(
          () -> {
            beforeTransaction.run();
            Fault currentFault = fault;
            if (currentFault == Fault.REFUSED) {
              throw failure(ExecutionOutcome.NOT_RUN);
            }
            if (currentFault == Fault.NONE) {
              return InMemoryTable.this.transact(transaction);
            }
            fault = Fault.NONE;
            if (currentFault == Fault.RESPONSE_LOST_ONCE) {
              InMemoryTable.this.transact(transaction);
            }
            throw failure(ExecutionOutcome.UNKNOWN);
          });
    }
  }

  private static SycamoreException failure(ExecutionOutcome outcome) {
    return new SycamoreException(ErrorCode.PLATFORM_UNAVAILABLE, outcome, "injected");
  }

  Client client() {
    return new Client();
  }
}
