package org.sycamoretrack.daemon.request.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Removes batches whose retention has expired, since the store has no expiry of its own.
 *
 * <p>A batch is retained for twice the time that results are guaranteed to submitters, measured
 * from the wall-clock time of the node that accepted it, and for as long as it has an owner. Rows
 * without a head row belong to a submission that was never completed; they are removed once two
 * consecutive sweeps have found them. The head row is removed last, so that the next sweep can
 * complete an interrupted one.
 *
 * <p>Meant to run on one node at a time, with one store call at a time. Concurrent sweeps are
 * harmless.
 */
public final class ExpiredBatchCleaner {
  /** Stays below the store's limit of 100 entries per call. */
  private static final int MAX_ROWS_PER_WRITE = 90;

  private static final int RETENTION_FACTOR = 2;
  private static final System.Logger LOG = System.getLogger(ExpiredBatchCleaner.class.getName());

  private final PartitionedStore store;
  private final long retentionMs;
  private final Predicate<String> hasOwner;
  private final LongSupplier epochClockMs;
  private Set<String> batchesWithoutHead = new HashSet<>();

  /**
   * Creates a cleaner.
   *
   * @param store the store
   * @param guaranteedMs how long results are guaranteed after the submission, in milliseconds
   * @param hasOwner whether the batch with the given id has an owner
   * @param epochClockMs the wall-clock time in milliseconds since the epoch
   */
  public ExpiredBatchCleaner(
      PartitionedStore store,
      long guaranteedMs,
      Predicate<String> hasOwner,
      LongSupplier epochClockMs) {
    this.store = store;
    this.retentionMs = RETENTION_FACTOR * guaranteedMs;
    this.hasOwner = hasOwner;
    this.epochClockMs = epochClockMs;
  }

  /**
   * Checks all batches once and removes the expired ones.
   *
   * @return the number of removed batches
   */
  public CompletionStage<Integer> sweep() {
    Set<String> foundWithoutHead = new HashSet<>();
    return store
        .partitions(BatchRowCodec.BATCH_TABLE)
        .thenCompose(
            batches -> {
              CompletionStage<Integer> removed = CompletableFuture.completedFuture(0);
              for (String batchId : batches.names()) {
                removed =
                    removed.thenCompose(
                        count -> check(batchId, foundWithoutHead).thenApply(done -> count + done));
              }
              return removed;
            })
        .whenComplete(
            Failures.loggingExceptions(
                (count, failure) -> {
                  batchesWithoutHead = foundWithoutHead;
                  LOG.log(
                      System.Logger.Level.INFO,
                      LogEvent.of("batches-swept")
                          .with("removed", count)
                          .with("reason", failure == null ? "" : failure.getMessage()));
                }));
  }

  private CompletionStage<Integer> check(String batchId, Set<String> foundWithoutHead) {
    if (hasOwner.test(batchId)) {
      return CompletableFuture.completedFuture(0);
    }
    return store
        .scan(BatchRowCodec.BATCH_TABLE, batchId, BatchRowCodec.HEAD_KEY, 1)
        .thenCompose(
            page -> {
              boolean hasHead =
                  !page.rows().isEmpty() && page.rows().get(0).key().equals(BatchRowCodec.HEAD_KEY);
              boolean expired;
              if (hasHead) {
                expired = isExpired(page.rows().get(0));
              } else {
                foundWithoutHead.add(batchId);
                expired = batchesWithoutHead.contains(batchId);
              }
              return expired
                  ? remove(batchId).thenApply(done -> 1)
                  : CompletableFuture.completedFuture(0);
            });
  }

  private boolean isExpired(Row head) {
    long acceptedAtMs = BatchRowCodec.readHead(head).json().path("acceptedAtMs").asLong();
    return epochClockMs.getAsLong() - acceptedAtMs > retentionMs;
  }

  private CompletionStage<Void> remove(String batchId) {
    return removeAll(BatchRowCodec.RESULT_TABLE, batchId)
        .thenCompose(done -> removeAll(BatchRowCodec.BATCH_TABLE, batchId));
  }

  /** Removes the rows of a batch from a table, the head row last. */
  private CompletionStage<Void> removeAll(String table, String batchId) {
    return store
        .scanAll(table, batchId)
        .thenCompose(
            page -> {
              List<String> ordered = new ArrayList<>(page.rows().stream().map(Row::key).toList());
              if (ordered.remove(BatchRowCodec.HEAD_KEY)) {
                ordered.add(BatchRowCodec.HEAD_KEY);
              }
              CompletionStage<Void> done = CompletableFuture.completedFuture(null);
              for (int start = 0; start < ordered.size(); start += MAX_ROWS_PER_WRITE) {
                List<String> part =
                    ordered.subList(start, Math.min(ordered.size(), start + MAX_ROWS_PER_WRITE));
                PartitionWrite.Builder write = PartitionWrite.in(batchId);
                part.forEach(key -> write.remove(table, key));
                done =
                    done.thenCompose(
                        before -> store.commit(write.build()).thenApply(result -> null));
              }
              return done;
            });
  }
}
