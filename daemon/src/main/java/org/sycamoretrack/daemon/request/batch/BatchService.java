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
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.core.request.batch.OpenBatch;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionWrite;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Page;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.farend.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.MonotonicClock;

/**
 * Accepts batches, runs those that this node owns, and reads and ends any.
 *
 * <p>The store is the authority: a batch is accepted when its rows are committed, and what readers
 * see are committed rows, at whatever node they ask. The node that accepts a batch is its first
 * owner; another one takes over by rewriting the owner's row on condition of its version.
 *
 * <p>Confined to the traffic loop, to which the store's answers come.
 */
public final class BatchService implements BatchRunner.Listener {
  /** How long an acceptance is tried; shorter than the wait of a submitter for its answer. */
  private static final long ACCEPT_MS = 3_500;

  private static final long RETRY_MS = 150;

  /** Wait between two reads of results that another node lists; half of the submitters' own. */
  private static final long POLL_MS = 250;

  /** Text of one answer; its form is larger, and an answer may have 1 MB. */
  private static final int MAX_ANSWER_BYTES = 600_000;

  /** Rows of one read: at 8 KB a text, within the store's 1 MB of a page. */
  private static final int RESULT_ROWS = 100;

  private static final int SCAN_ROWS = 500;
  private static final int MAX_KNOWN_HEADS = 2_000;
  private static final System.Logger LOG = System.getLogger(BatchService.class.getName());

  /** How a submission ended. */
  public enum Acceptance {
    /** The batch is kept. */
    ACCEPTED,
    /** Nothing was kept and nothing runs. */
    NOT_ACCEPTED,
    /** The batch may be kept or may yet be. */
    UNKNOWN
  }

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
  private final BatchScheduler scheduler;
  private final EventLoop loop;
  private final String nodeId;
  private final String incarnation;
  private final Map<String, BatchRunner> runners = new HashMap<>();
  private final Map<String, Boolean> takingOver = new HashMap<>();
  private final Map<String, List<Runnable>> waitingReaders = new HashMap<>();
  private final Map<String, BatchJournal.Head> heads =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, BatchJournal.Head> eldest) {
          return size() > MAX_KNOWN_HEADS;
        }
      };
  private boolean stopping;

  /**
   * Creates a service.
   *
   * @param store the store, which answers on the loop
   * @param scheduler gives slots to items
   * @param loop the traffic loop
   * @param nodeId this node
   * @param incarnation this run of its process
   */
  BatchService(
      PartitionedStore store,
      BatchScheduler scheduler,
      EventLoop loop,
      String nodeId,
      String incarnation) {
    this.store = store;
    this.scheduler = scheduler;
    this.loop = loop;
    this.nodeId = nodeId;
    this.incarnation = incarnation;
  }

  /** Returns the number of batches that this node runs. */
  public int openCount() {
    return runners.size();
  }

  /**
   * Accepts a batch once, however often it is submitted.
   *
   * @param batch the batch
   * @return how it ended
   */
  public CompletionStage<Acceptance> accept(BatchSubmission batch) {
    if (runners.containsKey(batch.id())) {
      return CompletableFuture.completedFuture(Acceptance.ACCEPTED);
    }
    CompletableFuture<Acceptance> outcome = new CompletableFuture<>();
    List<PartitionWrite.Builder> writes = BatchJournal.accept(batch);
    Owner owner = new Owner(batch.id(), nodeId, incarnation, 0);
    writes
        .get(writes.size() - 1)
        .put(ControlTables.CONTROL, ControlTables.OWNER, ControlTables.write(owner));
    new Accepting(batch, writes.stream().map(PartitionWrite.Builder::build).toList(), outcome)
        .writeNext();
    return outcome;
  }

  /** The writes of one acceptance, one after the other. */
  private final class Accepting {
    private final BatchSubmission batch;
    private final List<PartitionWrite> writes;
    private final CompletableFuture<Acceptance> outcome;
    private final long giveUpMs = MonotonicClock.nowMs() + ACCEPT_MS;
    private int next;
    private boolean maybeKept;

    private Accepting(
        BatchSubmission batch, List<PartitionWrite> writes, CompletableFuture<Acceptance> outcome) {
      this.batch = batch;
      this.writes = writes;
      this.outcome = outcome;
    }

    private void writeNext() {
      store
          .commit(writes.get(next))
          .whenComplete(
              Failures.logged(
                  (result, failure) -> {
                    if (failure != null) {
                      onFailure(failure);
                      return;
                    }
                    switch (result) {
                      case WriteResult.Committed committed -> onCommitted(committed.version());
                      case WriteResult.Conflict conflict -> onExists(conflict);
                    }
                  }));
    }

    private boolean isLast() {
      return next == writes.size() - 1;
    }

    private void onCommitted(long version) {
      if (!isLast()) {
        next++;
        writeNext();
        return;
      }
      run(batch, List.of(), new Owner(batch.id(), nodeId, incarnation, version));
      end(Acceptance.ACCEPTED);
    }

    private void onExists(WriteResult.Conflict conflict) {
      Row head = conflict.find(BatchJournal.BATCH, BatchJournal.HEAD);
      if (head == null) {
        retry();
        return;
      }
      // The write may have been this one, whose first answer was lost: it is run then once the
      // table of owners shows it.
      end(Acceptance.ACCEPTED);
    }

    private void onFailure(Throwable failure) {
      maybeKept |= isLast() && Failures.outcome(failure) != Outcome.NOT_RUN;
      LOG.log(
          System.Logger.Level.WARNING,
          LogEvent.of("accept-unsettled")
              .with("batch", batch.id())
              .with("outcome", Failures.outcome(failure))
              .with("reason", Failures.unwrap(failure).getMessage()));
      retry();
    }

    private void retry() {
      if (MonotonicClock.nowMs() + RETRY_MS < giveUpMs) {
        loop.schedule(this::writeNext, RETRY_MS, TimeUnit.MILLISECONDS);
      } else {
        end(maybeKept ? Acceptance.UNKNOWN : Acceptance.NOT_ACCEPTED);
      }
    }

    private void end(Acceptance acceptance) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("batch-submitted")
              .with("batch", batch.id())
              .with("items", batch.items().size())
              .with("minVersion", batch.minVersion())
              .with("outcome", acceptance));
      outcome.complete(acceptance);
    }
  }

  private void run(BatchSubmission batch, List<String> listedItemIds, Owner owner) {
    run(new OpenBatch(batch, listedItemIds), owner);
  }

  private void run(OpenBatch open, Owner owner) {
    String batchId = owner.batchId();
    BatchRunner runner = new BatchRunner(open, owner, store, scheduler, loop, this);
    runners.put(batchId, runner);
    scheduler.add(runner);
  }

  /**
   * Takes a batch over from an owner that is gone.
   *
   * @param dead the owner's row as it was seen
   */
  public void takeOver(Owner dead) {
    String batchId = dead.batchId();
    if (stopping || runners.containsKey(batchId) || takingOver.containsKey(batchId)) {
      return;
    }
    takingOver.put(batchId, true);
    PartitionWrite write =
        PartitionWrite.in(batchId)
            .expect(ControlTables.CONTROL, ControlTables.OWNER, dead.version())
            .put(
                ControlTables.CONTROL,
                ControlTables.OWNER,
                ControlTables.write(new Owner(batchId, nodeId, incarnation, 0)))
            .build();
    store
        .commit(write)
        .thenCompose(
            result ->
                switch (result) {
                  case WriteResult.Committed committed ->
                      load(new Owner(batchId, nodeId, incarnation, committed.version()));
                  case WriteResult.Conflict conflict ->
                      CompletableFuture.<Void>completedFuture(null);
                })
        .whenComplete(
            Failures.logged(
                (done, failure) -> {
                  takingOver.remove(batchId);
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("takeover-failed")
                            .with("batch", batchId)
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                }));
  }

  /** Reads a batch that this node owns by the store's word, and goes on with it. */
  private CompletionStage<Void> load(Owner owner) {
    String batchId = owner.batchId();
    return scanAll(BatchJournal.BATCH, batchId, "", new ArrayList<>())
        .thenCombine(
            scanAll(BatchJournal.RESULT, batchId, "", new ArrayList<>()),
            (rows, resultRows) -> {
              BatchSubmission submission = BatchJournal.readSubmission(batchId, rows);
              List<String> listed =
                  BatchJournal.readResults(resultRows).stream().map(ItemResult::itemId).toList();
              OpenBatch open = new OpenBatch(submission, listed);
              BatchJournal.readTexts(rows)
                  .forEach((index, text) -> open.items().get(index).restore(text));
              LOG.log(
                  System.Logger.Level.INFO,
                  LogEvent.of("batch-taken-over")
                      .with("batch", batchId)
                      .with("listed", listed.size())
                      .with("ownerVersion", owner.version()));
              if (!stopping && !runners.containsKey(batchId)) {
                run(open, owner);
              }
              return null;
            });
  }

  private CompletionStage<List<Row>> scanAll(
      String table, String partition, String fromKey, List<Row> found) {
    return store
        .scan(table, partition, fromKey, SCAN_ROWS)
        .thenCompose(
            page -> {
              found.addAll(page.rows());
              if (!page.more()) {
                return CompletableFuture.completedFuture(found);
              }
              String last = page.rows().get(page.rows().size() - 1).key();
              return scanAll(table, partition, last + '\0', found);
            });
  }

  /**
   * Takes what the store says of the owners. A batch that has another owner now, or none, is run no
   * more.
   *
   * @param owners the owners by batch
   * @param ageMs the time in milliseconds since they were last known to be right
   * @param maxAgeMs the age from which no new runs may start
   */
  public void onOwners(Map<String, Owner> owners, long ageMs, long maxAgeMs) {
    for (BatchRunner runner : List.copyOf(runners.values())) {
      runner.setMayDispatch(ageMs < maxAgeMs);
      Owner seen = owners.get(runner.owner().batchId());
      if (seen == null) {
        if (runner.wasSeen()) {
          runner.close("ended or complete");
        }
      } else if (seen.version() > runner.owner().version()) {
        runner.close("taken over by " + seen.nodeId());
      } else if (seen.version() == runner.owner().version()) {
        runner.onSeen();
      }
    }
  }

  @Override
  public void onListed(String batchId) {
    List<Runnable> readers = waitingReaders.remove(batchId);
    if (readers != null) {
      readers.forEach(Runnable::run);
    }
  }

  @Override
  public void onClosed(BatchRunner runner) {
    runners.remove(runner.owner().batchId(), runner);
    onListed(runner.owner().batchId());
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
                    : new Reading(batchId, head.get().itemCount(), from, waitMs).read());
  }

  /** One read of results, repeated until there is one or the time is up. */
  private final class Reading {
    private final String batchId;
    private final int total;
    private final int from;
    private final long untilMs;
    private final CompletableFuture<Optional<Results>> outcome = new CompletableFuture<>();

    private Reading(String batchId, int total, int from, long waitMs) {
      this.batchId = batchId;
      this.total = total;
      this.from = from;
      this.untilMs = MonotonicClock.nowMs() + waitMs;
    }

    private CompletionStage<Optional<Results>> read() {
      store
          .scan(BatchJournal.RESULT, batchId, BatchJournal.firstRowKey(from), RESULT_ROWS)
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
      long restMs = untilMs - MonotonicClock.nowMs();
      if (!results.isEmpty() || restMs <= 0 || from >= total) {
        outcome.complete(Optional.of(new Results(total, from, results)));
      } else if (runners.containsKey(batchId)) {
        await(restMs);
      } else {
        loop.schedule(this::read, Math.min(restMs, POLL_MS), TimeUnit.MILLISECONDS);
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
      List<ItemResult> results = BatchJournal.readResults(rows);
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

  private CompletionStage<Optional<BatchJournal.Head>> head(String batchId) {
    BatchJournal.Head known = heads.get(batchId);
    if (known != null) {
      return CompletableFuture.completedFuture(Optional.of(known));
    }
    return store
        .scan(BatchJournal.BATCH, batchId, BatchJournal.HEAD, 1)
        .thenApply(
            page -> {
              boolean found =
                  !page.rows().isEmpty() && page.rows().get(0).key().equals(BatchJournal.HEAD);
              if (!found) {
                return Optional.empty();
              }
              BatchJournal.Head head = BatchJournal.readHead(page.rows().get(0));
              heads.put(batchId, head);
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
    BatchRunner runner = runners.get(batchId);
    if (runner != null) {
      return CompletableFuture.completedFuture(body(runner.batch().submission(), itemId));
    }
    return scanAll(BatchJournal.BATCH, batchId, "", new ArrayList<>())
        .thenApply(
            rows -> {
              boolean exists = rows.stream().anyMatch(row -> row.key().equals(BatchJournal.HEAD));
              return exists
                  ? body(BatchJournal.readSubmission(batchId, rows), itemId)
                  : Optional.empty();
            });
  }

  private static Optional<byte[]> body(BatchSubmission batch, String itemId) {
    return batch.items().stream()
        .filter(item -> item.id().equals(itemId))
        .map(BatchItem::body)
        .findFirst();
  }

  /**
   * Ends a batch: what is listed stays, nothing more is run.
   *
   * @param batchId the batch
   * @return whether there is such a batch
   */
  public CompletionStage<Boolean> end(String batchId) {
    return head(batchId)
        .thenCompose(
            head -> {
              if (head.isEmpty()) {
                return CompletableFuture.completedFuture(false);
              }
              PartitionWrite write =
                  PartitionWrite.in(batchId)
                      .put(BatchJournal.BATCH, BatchJournal.END, new byte[] {'1'})
                      .remove(ControlTables.CONTROL, ControlTables.OWNER)
                      .build();
              return store.commit(write).thenApply(result -> onEnded(batchId, result));
            });
  }

  private boolean onEnded(String batchId, WriteResult result) {
    if (!(result instanceof WriteResult.Committed)) {
      throw new SycamoreException(
          ErrorCode.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN, "the end of the batch was not written");
    }
    BatchRunner runner = runners.get(batchId);
    if (runner != null) {
      runner.close("ended by its submitter");
    }
    return true;
  }

  /**
   * Hands all batches to other nodes.
   *
   * @return done when their texts are kept
   */
  public CompletionStage<Void> handOver() {
    stopping = true;
    scheduler.stop();
    List<CompletableFuture<Void>> kept =
        List.copyOf(runners.values()).stream()
            .map(runner -> runner.handOver().toCompletableFuture())
            .toList();
    return CompletableFuture.allOf(kept.toArray(CompletableFuture[]::new));
  }
}
