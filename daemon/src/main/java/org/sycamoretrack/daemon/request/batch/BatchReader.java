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
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Page;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Reads batches of any node from the rows in the store, which never change once they are committed.
 *
 * <p>A reader waiting for results of a batch that this node runs is notified when they are
 * committed. For other batches, the store is polled.
 *
 * <p>Confined to the traffic loop, on which the store completes its futures.
 */
public final class BatchReader {
  /** Poll interval for results of other nodes: half of the submitters' own poll interval. */
  private static final long POLL_INTERVAL_MS = 250;

  /** Text per response. Leaves room for the encoding within the limit of 1 MB per response. */
  private static final int MAX_RESPONSE_BYTES = 600_000;

  /** Rows per read: fits the store's limit of 1 MB per page with texts of 8 KB. */
  private static final int MAX_ROWS_PER_READ = 100;

  private static final int MAX_CACHED_HEADS = 2_000;

  private static final System.Logger LOG = System.getLogger(BatchReader.class.getName());

  /**
   * A range of the results of a batch.
   *
   * @param total the number of items in the batch
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
   * @param store the store, which completes its futures on the loop
   * @param loop the traffic loop
   * @param openBatches finds a batch that this node runs, by its id
   */
  BatchReader(
      PartitionedStore store,
      EventLoop loop,
      Function<String, Optional<BatchSubmission>> openBatches) {
    this.store = store;
    this.loop = loop;
    this.openBatches = openBatches;
  }

  /**
   * Returns whether a batch exists and a customer may access it. Where the manifest defines no
   * customers, the answer is true without a look at the batch, which may not exist then.
   *
   * @param batchId the id of the batch
   * @param customer the customer that wants to access it
   */
  public CompletionStage<Boolean> isAccessible(String batchId, RequestCustomer customer) {
    if (customer instanceof RequestCustomer.Undefined) {
      return CompletableFuture.completedFuture(true);
    }
    Optional<BatchSubmission> openBatch = openBatches.apply(batchId);
    if (openBatch.isPresent()) {
      return CompletableFuture.completedFuture(
          mayAccess(customer, batchId, openBatch.get().customer()));
    }
    return head(batchId)
        .thenApply(head -> head.isPresent() && mayAccess(customer, batchId, head.get().customer()));
  }

  /** Returns whether a customer may access a stored batch, and logs it if not. */
  static boolean mayAccess(RequestCustomer customer, String batchId, String storedName) {
    boolean allowed = customer.mayAccess(storedName);
    if (!allowed) {
      // The response is that of a batch that doesn't exist; only the log tells them apart.
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("batch-access-refused")
              .with("batch", batchId)
              .with("customer", customer.name()));
    }
    return allowed;
  }

  /**
   * Reads results.
   *
   * @param batchId the id of the batch
   * @param from the position of the first result
   * @param waitMs how long to wait until there is at least one result, in milliseconds
   * @return the results, or empty if the batch doesn't exist
   */
  public CompletionStage<Optional<Results>> results(String batchId, int from, long waitMs) {
    return head(batchId)
        .thenCompose(
            head ->
                head.isEmpty()
                    ? CompletableFuture.completedFuture(Optional.<Results>empty())
                    : new ResultsQuery(batchId, head.get().itemCount(), from, waitMs).read());
  }

  /** A query for results, repeated until there is at least one or the timeout has passed. */
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
              Failures.loggingExceptions(
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
      long remainingMs = deadlineMs - MonotonicClock.nowMs();
      if (!results.isEmpty() || remainingMs <= 0 || from >= total) {
        outcome.complete(Optional.of(new Results(total, from, results)));
      } else if (openBatches.apply(batchId).isPresent()) {
        await(remainingMs);
      } else {
        loop.schedule(this::read, Math.min(remainingMs, POLL_INTERVAL_MS), TimeUnit.MILLISECONDS);
      }
    }

    private void await(long remainingMs) {
      boolean[] notified = {false};
      Runnable notify =
          () -> {
            if (!notified[0]) {
              notified[0] = true;
              read();
            }
          };
      waitingReaders.computeIfAbsent(batchId, unused -> new ArrayList<>()).add(notify);
      loop.schedule(notify, remainingMs, TimeUnit.MILLISECONDS);
    }

    /** Drops a last result that the page may have truncated, and results beyond the size limit. */
    private List<ItemResult> wholeResults(Page page) {
      List<Row> rows = new ArrayList<>(page.rows());
      if (page.more() && !rows.isEmpty()) {
        String lastPosition = position(rows.get(rows.size() - 1));
        boolean singleResult = position(rows.get(0)).equals(lastPosition);
        if (!singleResult) {
          rows.removeIf(row -> position(row).equals(lastPosition));
        }
      }
      List<ItemResult> results = BatchRowCodec.readResults(rows);
      int bytes = 0;
      int count = 0;
      while (count < results.size() && (count == 0 || bytes < MAX_RESPONSE_BYTES)) {
        bytes += results.get(count).text().length();
        count++;
      }
      return results.subList(0, count);
    }

    private static String position(Row row) {
      return row.key().substring(0, row.key().indexOf('.'));
    }
  }

  /** Returns the head of a batch, or empty if the batch doesn't exist. */
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
   * @param batchId the id of the batch
   * @param itemId the id of the item
   * @return the body, or empty if the item doesn't exist
   */
  public CompletionStage<Optional<byte[]>> itemBody(String batchId, String itemId) {
    Optional<BatchSubmission> openBatch = openBatches.apply(batchId);
    if (openBatch.isPresent()) {
      return CompletableFuture.completedFuture(body(openBatch.get(), itemId));
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

  /** Notifies the readers that wait for results of a batch. */
  void onListed(String batchId) {
    List<Runnable> readers = waitingReaders.remove(batchId);
    if (readers != null) {
      readers.forEach(Runnable::run);
    }
  }
}
