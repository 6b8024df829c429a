package org.sycamoretrack.daemon.client;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;

/** A store in memory that can be away. Thread-safe. */
public final class MemoryPartitionedStore implements PartitionedStore {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private boolean away;

  /** Creates an empty store. */
  public MemoryPartitionedStore() {}

  private static String id(String table, String partition, String key) {
    return table + '|' + partition + '|' + key;
  }

  /** Sets whether all calls fail without effect. */
  public synchronized void setAway(boolean newAway) {
    away = newAway;
  }

  /** Returns a row, or null if it doesn't exist. */
  public synchronized Row row(String table, String partition, String key) {
    return rows.get(id(table, partition, key));
  }

  private static <T> CompletionStage<T> failed() {
    return CompletableFuture.failedFuture(
        new SycamoreException(
            ErrorCode.PLATFORM_UNAVAILABLE, ExecutionOutcome.NOT_RUN, "the store is away"));
  }

  @Override
  public synchronized CompletionStage<Page> scan(
      String table, String partition, String fromKey, int limit) {
    if (away) {
      return failed();
    }
    List<Row> found =
        rows.values().stream()
            .filter(row -> row.table().equals(table) && row.partition().equals(partition))
            .filter(row -> row.key().compareTo(fromKey) >= 0)
            .limit(limit)
            .toList();
    return CompletableFuture.completedFuture(new Page(found, version, found.size() == limit));
  }

  @Override
  public synchronized CompletionStage<WriteResult> commit(PartitionWrite write) {
    if (away) {
      return failed();
    }
    List<Row> current = new ArrayList<>();
    boolean met = true;
    for (PartitionWrite.Condition condition : write.conditions()) {
      Row row = row(condition.table(), write.partition(), condition.key());
      met &= (row == null ? PartitionWrite.ABSENT : row.version()) == condition.version();
      if (row != null) {
        current.add(row);
      }
    }
    if (!met) {
      return CompletableFuture.completedFuture(new WriteResult.Conflict(current));
    }
    version++;
    for (PartitionWrite.Put put : write.puts()) {
      String id = id(put.table(), write.partition(), put.key());
      if (put.value() == null) {
        rows.remove(id);
      } else {
        rows.put(id, new Row(put.table(), write.partition(), put.key(), put.value(), version));
      }
    }
    return CompletableFuture.completedFuture(new WriteResult.Committed(version));
  }

  @Override
  public CompletionStage<Partitions> partitions(String table) {
    throw new UnsupportedOperationException("no test lists partitions");
  }

  @Override
  public CompletionStage<Changes> changes(String table, long afterVersion, long waitMs) {
    throw new UnsupportedOperationException("no test waits for changes");
  }
}
