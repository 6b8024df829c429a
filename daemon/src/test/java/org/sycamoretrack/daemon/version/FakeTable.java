package org.sycamoretrack.daemon.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;

/** A table service that responds immediately and can lose the responses to the next writes. */
final class FakeTable implements TableStore {
  private final Map<String, Row> rows = new TreeMap<>();
  int responsesToLose;

  @Override
  public CompletionStage<Optional<Row>> read(String table, String key) {
    return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(table + ":" + key)));
  }

  @Override
  public CompletionStage<List<Row>> scan(String table, String prefix, String after, int limit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<TransactionResult> transact(Transaction transaction) {
    List<Long> versions = new ArrayList<>();
    for (Transaction.Put put : transaction.puts()) {
      String name = put.table() + ":" + put.key();
      long version = rows.containsKey(name) ? rows.get(name).version() : 0;
      if (put.expectedVersion() != version) {
        return CompletableFuture.completedFuture(
            new TransactionResult.Conflict(
                List.of(new TransactionResult.ConflictingRow(put.table(), put.key(), version))));
      }
      rows.put(name, new Row(put.key(), version + 1, put.value()));
      versions.add(version + 1);
    }
    if (responsesToLose > 0) {
      responsesToLose--;
      return CompletableFuture.failedFuture(
          new SycamoreException(
              ErrorCode.PLATFORM_UNAVAILABLE, ExecutionOutcome.UNKNOWN, "response lost"));
    }
    return CompletableFuture.completedFuture(new TransactionResult.Committed(versions));
  }
}
