package org.sycamoretrack.daemon.request.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionWrite;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Removes batches that nobody may ask for any more, since the store drops nothing by itself.
 *
 * <p>A batch is kept for twice the time for which its results are promised, by the time of day of
 * the node that accepted it, and as long as it has an owner. Rows of a batch without a head are
 * left over from an acceptance that didn't come to its end; they are removed when two sweeps have
 * seen them. The head goes last, so that a sweep that breaks off is finished by the next one.
 *
 * <p>Runs on one node at a time, one call of the store after the other. Running twice does no harm.
 */
public final class BatchJanitor {
  /** Rows of one write: under the store's 100 entries a call. */
  private static final int MAX_ROWS_PER_WRITE = 90;

  private static final int RETENTION_FACTOR = 2;
  private static final System.Logger LOG = System.getLogger(BatchJanitor.class.getName());

  private final PartitionedStore store;
  private final long retentionMs;
  private final Predicate<String> hasOwner;
  private final LongSupplier timeOfDayMs;
  private Set<String> batchesWithoutHead = new HashSet<>();

  /**
   * Creates a janitor.
   *
   * @param store the store
   * @param promisedMs how long results are promised after the submission, in milliseconds
   * @param isOpen whether a batch has an owner
   * @param timeOfDayMs the time of day in milliseconds since the epoch
   */
  public BatchJanitor(
      PartitionedStore store, long promisedMs, Predicate<String> isOpen, LongSupplier timeOfDayMs) {
    this.store = store;
    this.retentionMs = RETENTION_FACTOR * promisedMs;
    this.hasOwner = isOpen;
    this.timeOfDayMs = timeOfDayMs;
  }

  /**
   * Looks at all batches once.
   *
   * @return the number of batches that were removed
   */
  public CompletionStage<Integer> sweep() {
    Set<String> headlessNow = new HashSet<>();
    return store
        .partitions(BatchRowCodec.BATCH_TABLE)
        .thenCompose(
            batchIds -> {
              CompletionStage<Integer> removed = CompletableFuture.completedFuture(0);
              for (String batchId : batchIds) {
                removed =
                    removed.thenCompose(
                        count -> check(batchId, headlessNow).thenApply(done -> count + done));
              }
              return removed;
            })
        .whenComplete(
            Failures.logged(
                (count, failure) -> {
                  batchesWithoutHead = headlessNow;
                  LOG.log(
                      System.Logger.Level.INFO,
                      LogEvent.of("batches-swept")
                          .with("removed", count)
                          .with("reason", failure == null ? "" : failure.getMessage()));
                }));
  }

  private CompletionStage<Integer> check(String batchId, Set<String> headlessNow) {
    if (hasOwner.test(batchId)) {
      return CompletableFuture.completedFuture(0);
    }
    return store
        .scan(BatchRowCodec.BATCH_TABLE, batchId, BatchRowCodec.HEAD_KEY, 1)
        .thenCompose(
            page -> {
              boolean hasHead =
                  !page.rows().isEmpty() && page.rows().get(0).key().equals(BatchRowCodec.HEAD_KEY);
              boolean old;
              if (hasHead) {
                old = isExpired(page.rows().get(0));
              } else {
                headlessNow.add(batchId);
                old = batchesWithoutHead.contains(batchId);
              }
              return old
                  ? remove(batchId).thenApply(done -> 1)
                  : CompletableFuture.completedFuture(0);
            });
  }

  private boolean isExpired(Row head) {
    long acceptedAtMs = BatchRowCodec.readHead(head).json().path("acceptedAtMs").asLong();
    return timeOfDayMs.getAsLong() - acceptedAtMs > retentionMs;
  }

  private CompletionStage<Void> remove(String batchId) {
    return removeAll(BatchRowCodec.RESULT_TABLE, batchId)
        .thenCompose(done -> removeAll(BatchRowCodec.BATCH_TABLE, batchId));
  }

  /** Removes the rows of a table from the last key to the first, so that the head goes last. */
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
