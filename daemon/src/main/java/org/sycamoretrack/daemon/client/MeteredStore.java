package org.sycamoretrack.daemon.client;

import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;

/** Decorates a {@link PartitionedStore} with metrics: counts calls and measures their duration. */
public final class MeteredStore implements PartitionedStore {
  private final PartitionedStore store;
  private final StoreBackedNodeMetrics metrics;

  /**
   * Creates the decorator.
   *
   * @param store executes the calls
   * @param metrics receives the measurements
   */
  public MeteredStore(PartitionedStore store, StoreBackedNodeMetrics metrics) {
    this.store = store;
    this.metrics = metrics;
  }

  private <T> CompletionStage<T> measure(String call, CompletionStage<T> stage) {
    long sentMs = MonotonicClock.nowMs();
    return stage.whenComplete(
        (value, failure) ->
            metrics.onStoreCall(call, outcome(value, failure), MonotonicClock.nowMs() - sentMs));
  }

  private static String outcome(Object value, Throwable failure) {
    if (failure != null) {
      return Failures.outcome(failure).name().toLowerCase(Locale.ROOT);
    }
    return switch (value) {
      case WriteResult.Conflict conflict -> "conflict";
      case Changes.HistoryLost lost -> "history_lost";
      case null, default -> "ok";
    };
  }

  @Override
  public CompletionStage<Page> scan(String table, String partition, String fromKey, int limit) {
    return measure("scan", store.scan(table, partition, fromKey, limit));
  }

  @Override
  public CompletionStage<Partitions> partitions(String table) {
    return measure("partitions", store.partitions(table));
  }

  @Override
  public CompletionStage<Changes> changes(String table, long afterVersion, long waitMs) {
    return measure("changes", store.changes(table, afterVersion, waitMs));
  }

  @Override
  public CompletionStage<WriteResult> commit(PartitionWrite write) {
    return measure("commit", store.commit(write));
  }
}
