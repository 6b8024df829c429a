package org.sycamoretrack.daemon.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;

/**
 * Stores the configuration in the table service: one row for each resource, and one head row.
 *
 * <p>Each change writes the row of its resource and the head row in one transaction that is
 * conditional on the version of the head row. So of two changes to the same configuration one is
 * rejected, and a transaction that is sent twice takes effect once.
 *
 * <p>A read of several rows is not atomic. The head is therefore read before and after. When it
 * changed, the rows that were changed since are read again, until the head stays the same. Each
 * round reads only the latest changes, so a node catches up with a series of changes.
 */
final class ConfigurationStore {
  static final String TABLE = "configuration";
  static final String HEAD_KEY = "head";
  private static final String ROW_PREFIX = "r/";
  private static final int PAGE_ROWS = 500;

  /** Half of the time limit of a change, which leaves time for its transaction. */
  private static final long LOAD_TIMEOUT_MS = 5_000;

  private final TableStore table;

  ConfigurationStore(TableStore table) {
    this.table = table;
  }

  private static String rowKey(ResourceKey key) {
    return ROW_PREFIX + key.kind().wireName() + "/" + key.name();
  }

  CompletionStage<ConfigurationHead> readHead() {
    return table.read(TABLE, HEAD_KEY).thenApply(ConfigurationHead::read);
  }

  /** Sends the transaction of a change, conditional on a head. */
  CompletionStage<TransactionResult> commit(
      Change change, ConfigurationHead head, String changeId) {
    Transaction.Builder transaction =
        Transaction.builder(changeId)
            .put(TABLE, HEAD_KEY, head.rowVersion(), head.valueAfter(change.key(), changeId));
    String rowKey = rowKey(change.key());
    switch (change) {
      case Change.Put put ->
          transaction.put(
              TABLE,
              rowKey,
              Transaction.ANY,
              ResourceCodec.write(put.resource().withVersion(head.version() + 1)));
      case Change.Delete delete -> transaction.delete(TABLE, rowKey, Transaction.ANY);
    }
    return table.transact(transaction.build());
  }

  /**
   * Reads the configuration of a head. Only changed rows are read where the recent changes cover
   * those since the known configuration.
   */
  CompletionStage<Configuration> load(Configuration known, ConfigurationHead head) {
    return load(known, head, MonotonicClock.nowMs() + LOAD_TIMEOUT_MS);
  }

  private CompletionStage<Configuration> load(
      Configuration known, ConfigurationHead head, long deadlineMs) {
    if (head.version() <= known.version()) {
      return CompletableFuture.completedStage(known);
    }
    if (MonotonicClock.nowMs() >= deadlineMs) {
      return CompletableFuture.failedStage(
          new SycamoreException(
              ErrorCode.PLATFORM_UNAVAILABLE,
              ExecutionOutcome.NOT_RUN,
              "the configuration changes faster than it can be read"));
    }
    CompletionStage<Configuration> read =
        head.coversChangesSince(known.version()) ? readChanged(known, head) : readAll(head);
    return read.thenCompose(
        next ->
            readHead()
                .thenCompose(
                    after ->
                        after.version() == head.version()
                            ? CompletableFuture.completedStage(next)
                            : load(next, after, deadlineMs)));
  }

  private CompletionStage<Configuration> readChanged(Configuration known, ConfigurationHead head) {
    CompletionStage<Configuration> result =
        CompletableFuture.completedStage(known.apply(head.version(), List.of(), List.of()));
    for (ResourceKey key : head.changedAfter(known.version())) {
      result =
          result.thenCombine(
              table.read(TABLE, rowKey(key)),
              (configuration, row) -> update(configuration, key, row));
    }
    return result;
  }

  private static Configuration update(
      Configuration configuration, ResourceKey key, Optional<TableStore.Row> row) {
    long version = configuration.version();
    return row.map(present -> configuration.with(version, ResourceCodec.read(present.value())))
        .orElseGet(() -> configuration.without(version, key));
  }

  private CompletionStage<Configuration> readAll(ConfigurationHead head) {
    return readPage("", new ArrayList<>())
        .thenApply(resources -> new Configuration(head.version(), resources));
  }

  private CompletionStage<List<Resource>> readPage(String after, List<Resource> read) {
    return table
        .scan(TABLE, ROW_PREFIX, after, PAGE_ROWS)
        .thenCompose(
            rows -> {
              rows.forEach(row -> read.add(ResourceCodec.read(row.value())));
              return rows.size() < PAGE_ROWS
                  ? CompletableFuture.completedStage(read)
                  : readPage(rows.get(rows.size() - 1).key(), read);
            });
  }
}
