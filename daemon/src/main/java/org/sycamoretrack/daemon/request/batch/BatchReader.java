package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Page;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;

/**
 * Reads batches of any node from the store's rows, which never change once they are listed.
 *
 * <p>A reader that waits for results of a batch that this node runs is woken when they are listed;
 * for other batches the store is read again now and then.
 *
 * <p>Confined to the traffic loop, to which the store's answers come.
 */
public final class BatchReader {
  /** Wait between two reads of results that another node lists; half of the submitters' own. */
  private static final long POLL_INTERVAL_MS = 250;

  /** Text of one answer; its form is larger, and an answer may have 1 MB. */
  private static final int MAX_ANSWER_BYTES = 600_000;

  /** Rows of one read: at 8 KB a text, within the store's 1 MB of a page. */
  private static final int MAX_ROWS_PER_READ = 100;

  private static final int MAX_CACHED_HEADS = 2_000;

  /**
   * A part of the results of a batch.
   *
   * @param total the number of its items
   * @param from the position of the first result
   * @param results the results
   */
  public record Results(int total, int from, List<ItemResult> results) {
    /** Copies the results. */
    public Results {
      results = List.copyOf(results);
    }
  }

  private final PartitionedStore store;
  private final EventLoop loop;
  private final Function<String, Optional<BatchSubmission>> openBatches;
  private final Map<String, List<Runnable>> waitingReaders = new HashMap<>();
  private final Map<String, BatchRowCodec.Head> cachedHeads =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, BatchRowCodec.Head> eldest) {
          return size() > MAX_CACHED_HEADS;
        }
      };

  /**
   * Creates a reader.
   *
   * @param store the store, which answers on the loop
   * @param loop the traffic loop
   * @param open returns a batch that this node runs
   */
  BatchReader(
      PartitionedStore store, EventLoop loop, Function<String, Optional<BatchSubmission>> open) {
    this.store = store;
    this.loop = loop;
    this.openBatches = open;
  }

  /**
   * Reads results.
   *
   * @param batchId the batch
   * @param from the position of the first one
   * @param waitMs how long to wait for one, in milliseconds
   * @return the results, empty when there is no such batch
   */
  public CompletionStage<Optional<Results>> results(String batchId, int from, long waitMs) {
    return head(batchId)
        .thenCompose(
            head ->
                head.isEmpty()
                    ? CompletableFuture.completedFuture(Optional.<Results>empty())
                    : new ResultsQuery(batchId, head.get().itemCount(), from, waitMs).read());
  }

  /** One read of results, repeated until there is one or the time is up. */
  private final class ResultsQuery {
    private final String batchId;
    private final int total;
    private final int from;
    private final long deadlineMs;
    private final CompletableFuture<Optional<Results>> outcome = new CompletableFuture<>();

    private ResultsQuery(String batchId, int total, int from, long waitMs) {
      this.batchId = batchId;
      this.total = total;
      this.from = from;
      this.deadlineMs = MonotonicClock.nowMs() + waitMs;
    }

    private CompletionStage<Optional<Results>> read() {
      store
          .scan(
              BatchRowCodec.RESULT_TABLE,
              batchId,
              BatchRowCodec.firstRowKey(from),
              MAX_ROWS_PER_READ)
          .whenComplete(
              Failures.logged(
                  (page, failure) -> {
                    if (failure != null) {
                      outcome.completeExceptionally(failure);
                    } else {
                      onPage(page);
                    }
                  }));
      return outcome;
    }

    private void onPage(Page page) {
      List<ItemResult> results = wholeResults(page);
      long restMs = deadlineMs - MonotonicClock.nowMs();
      if (!results.isEmpty() || restMs <= 0 || from >= total) {
        outcome.complete(Optional.of(new Results(total, from, results)));
      } else if (openBatches.apply(batchId).isPresent()) {
        await(restMs);
      } else {
        loop.schedule(this::read, Math.min(restMs, POLL_INTERVAL_MS), TimeUnit.MILLISECONDS);
      }
    }

    private void await(long restMs) {
      boolean[] woken = {false};
      Runnable wake =
          () -> {
            if (!woken[0]) {
              woken[0] = true;
              read();
            }
          };
      waitingReaders.computeIfAbsent(batchId, any -> new ArrayList<>()).add(wake);
      loop.schedule(wake, restMs, TimeUnit.MILLISECONDS);
    }

    /** Drops a last result that the page may have cut, and what is over the size of an answer. */
    private List<ItemResult> wholeResults(Page page) {
      List<Row> rows = new ArrayList<>(page.rows());
      if (page.more() && !rows.isEmpty()) {
        String lastPosition = position(rows.get(rows.size() - 1));
        boolean only = position(rows.get(0)).equals(lastPosition);
        if (!only) {
          rows.removeIf(row -> position(row).equals(lastPosition));
        }
      }
      List<ItemResult> results = BatchRowCodec.readResults(rows);
      int bytes = 0;
      int count = 0;
      while (count < results.size() && (count == 0 || bytes < MAX_ANSWER_BYTES)) {
        bytes += results.get(count).text().length();
        count++;
      }
      return results.subList(0, count);
    }

    private static String position(Row row) {
      return row.key().substring(0, row.key().indexOf('.'));
    }
  }

  /** Returns the head of a batch, empty when there is no such batch. */
  CompletionStage<Optional<BatchRowCodec.Head>> head(String batchId) {
    BatchRowCodec.Head known = cachedHeads.get(batchId);
    if (known != null) {
      return CompletableFuture.completedFuture(Optional.of(known));
    }
    return store
        .scan(BatchRowCodec.BATCH_TABLE, batchId, BatchRowCodec.HEAD_KEY, 1)
        .thenApply(
            page -> {
              boolean found =
                  !page.rows().isEmpty() && page.rows().get(0).key().equals(BatchRowCodec.HEAD_KEY);
              if (!found) {
                return Optional.empty();
              }
              BatchRowCodec.Head head = BatchRowCodec.readHead(page.rows().get(0));
              cachedHeads.put(batchId, head);
              return Optional.of(head);
            });
  }

  /**
   * Returns the body of an item.
   *
   * @param batchId the batch
   * @param itemId the item
   * @return the body, empty when there is no such item
   */
  public CompletionStage<Optional<byte[]>> itemBody(String batchId, String itemId) {
    Optional<BatchSubmission> here = openBatches.apply(batchId);
    if (here.isPresent()) {
      return CompletableFuture.completedFuture(body(here.get(), itemId));
    }
    return store
        .scanAll(BatchRowCodec.BATCH_TABLE, batchId)
        .thenApply(
            page -> {
              List<Row> rows = page.rows();
              boolean exists =
                  rows.stream().anyMatch(row -> row.key().equals(BatchRowCodec.HEAD_KEY));
              return exists
                  ? body(BatchRowCodec.readSubmission(batchId, rows), itemId)
                  : Optional.empty();
            });
  }

  private static Optional<byte[]> body(BatchSubmission batch, String itemId) {
    return batch.items().stream()
        .filter(item -> item.id().equals(itemId))
        .map(BatchItem::body)
        .findFirst();
  }

  /** Wakes the readers that wait for results of a batch. */
  void onListed(String batchId) {
    List<Runnable> readers = waitingReaders.remove(batchId);
    if (readers != null) {
      readers.forEach(Runnable::run);
    }
  }
}
