package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.core.request.batch.OpenBatch;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics.OwnerChange;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;

/**
 * Runs a batch on the node that owns it: sends its items to endpoints and commits their results.
 *
 * <p>Results are committed in groups, on the condition that the owner row is unchanged. A paused or
 * partitioned node that has lost the batch can therefore commit nothing more, independently of any
 * clock. A commit with an unknown outcome is repeated unchanged: it is conditional on the absence
 * of its first row, so it takes effect at most once.
 *
 * <p>Confined to the traffic loop.
 */
final class BatchRunner {
  /** Twice the store's usual response time, so that a slow store doesn't get additional load. */
  private static final long COMMIT_RETRY_DELAY_MS = 200;

  /** Keeps a commit, including large results of several rows, below 100 entries per store call. */
  private static final int MAX_RESULTS_PER_COMMIT = 40;

  /** Text per commit: the encoding is a third larger, and the store accepts 1 MB per call. */
  private static final int MAX_COMMIT_BYTES = 400_000;

  /** Upper bound of the work lost when an owner crashes, in addition to the takeover time. */
  private static final long TEXT_SAVE_INTERVAL_MS = 600;

  /** Half a second of generation; a shorter text is regenerated faster than it is saved. */
  private static final int MIN_UNSAVED_EVENTS = 12;

  private static final System.Logger LOG = System.getLogger(BatchRunner.class.getName());

  /** Receives the events of a runner. */
  interface Listener {
    /** Called when results were committed. */
    void onListed(String batchId, int count);

    /** Called once, when this node stops running the batch. */
    void onClosed(BatchRunner runner, OwnerChange change);
  }

  private final OpenBatch batch;
  private final Owner owner;
  private final PartitionedStore store;
  private final BatchScheduler scheduler;
  private final ScoreScheduler scores;
  private final EventLoop loop;
  private final Listener listener;
  private final Map<ItemProgress, ItemRun> runs = new HashMap<>();
  private final Map<String, Set<String>> groupEndpoints = new HashMap<>();
  private final Map<ItemProgress, Integer> savedEvents = new HashMap<>();
  private final FailureSaver failureSaver;
  private long nextSaveMs;
  private boolean saving;
  private boolean mayDispatch = true;
  private boolean closed;

  /**
   * Creates a runner.
   *
   * @param batch the batch
   * @param owner the owner row as this node wrote it
   * @param store the store, which completes its futures on the loop
   * @param scheduler assigns slots to the items
   * @param scores sends the scoring calls
   * @param loop the traffic loop
   * @param listener receives the events of the runner
   */
  BatchRunner(
      OpenBatch batch,
      Owner owner,
      PartitionedStore store,
      BatchScheduler scheduler,
      ScoreScheduler scores,
      EventLoop loop,
      Listener listener) {
    this.batch = batch;
    this.owner = owner;
    this.store = store;
    this.scheduler = scheduler;
    this.scores = scores;
    this.loop = loop;
    this.listener = listener;
    this.failureSaver = new FailureSaver(this::saveRows);
  }

  OpenBatch batch() {
    return batch;
  }

  Owner owner() {
    return owner;
  }

  boolean mayDispatch() {
    return mayDispatch && !closed;
  }

  /** Sets whether new runs may start. They may not while the owner row is unconfirmed. */
  void setMayDispatch(boolean allowed) {
    mayDispatch = allowed;
  }

  /** Returns the endpoints that ran items of a group and so have its prompt cached. */
  Set<String> endpointsOf(String group) {
    return groupEndpoints.getOrDefault(group, Set.of());
  }

  /** Returns the active runs. */
  List<ItemRun> runs() {
    return List.copyOf(runs.values());
  }

  void start(ItemProgress item, Endpoint endpoint) {
    item.onStarted();
    groupEndpoints
        .computeIfAbsent(item.item().group(), unused -> new HashSet<>())
        .add(endpoint.id());
    ItemRun run = new ItemRun(this, scheduler, item, endpoint);
    runs.put(item, run);
    run.start();
  }

  /** Called when a run ended without a result. */
  void onRunEnded(ItemProgress item) {
    runs.remove(item);
    scheduler.requestDispatch();
  }

  /** Called when a run ended with an error response. Gives the item up if that was the last run. */
  void onRunFailed(ItemProgress item, String reason) {
    if (closed) {
      return;
    }
    failureSaver.add(item);
    if (hasFailed(item)) {
      giveUp(item, reason);
    } else {
      onRunEnded(item);
    }
  }

  private boolean hasFailed(ItemProgress item) {
    return item.hasFailed(batch.submission().routeSettings().attempts());
  }

  /** Lists or scores the items that an earlier owner completed or saw fail but didn't list. */
  void resumeEndedItems() {
    for (ItemProgress item : batch.items()) {
      if (item.isFinished()) {
        continue;
      }
      if (item.text().isComplete()) {
        onTextComplete(item);
      } else if (hasFailed(item)) {
        giveUp(item, "the runs at earlier owners failed");
      }
    }
  }

  /** Called when the text of an item is complete. Scores it if the item has a scoring request. */
  void onTextComplete(ItemProgress item) {
    runs.remove(item);
    if (closed) {
      return;
    }
    item.text().markComplete();
    if (item.item().scoreRequest().isPresent()) {
      scores.add(this, item);
      scheduler.requestDispatch();
    } else {
      complete(item, "");
    }
  }

  /** Commits the result of an item with a complete text; the score is empty if it has none. */
  void complete(ItemProgress item, String score) {
    finish(item, true, score);
  }

  /** Commits the result of an item that is given up. */
  void giveUp(ItemProgress item, String reason) {
    if (!closed) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("item-given-up")
              .with("batch", batch.submission().id())
              .with("item", item.item().id())
              .with("failures", item.failures())
              .with("reason", reason));
    }
    finish(item, false, "");
  }

  private void finish(ItemProgress item, boolean completed, String score) {
    runs.remove(item);
    scores.remove(this, item);
    if (closed) {
      return;
    }
    batch.finish(
        item,
        new ItemResult(
            item.item().id(), completed, item.text().data(), item.text().versions(), score));
    commit();
    scheduler.requestDispatch();
  }

  /** Checks for runs that have timed out and for items that have waited too long. */
  void onTick(long nowMs) {
    List.copyOf(runs.values()).forEach(run -> run.onTick(nowMs));
    savePartialTexts(nowMs);
    if (!closed) {
      failureSaver.write();
    }
    BatchSubmission submission = batch.submission();
    long maxQueueMs = submission.routeSettings().maxQueueMs();
    if (maxQueueMs > 0 && System.currentTimeMillis() - submission.acceptedAtMs() > maxQueueMs) {
      for (ItemProgress item : batch.items()) {
        if (!item.isFinished() && !item.isRunning()) {
          giveUp(item, "queue time exceeds the maximum of the route");
        }
      }
    }
  }

  /**
   * Saves partial texts that have grown since they were last saved, the longest first, so that the
   * node that takes over after a crash can continue them. A failed save costs repeated work at
   * worst, so it isn't retried.
   */
  private void savePartialTexts(long nowMs) {
    if (closed || saving || nowMs < nextSaveMs) {
      return;
    }
    List<ItemProgress> unsaved =
        batch.items().stream()
            .filter(item -> isWorthSaving(item, nowMs))
            .sorted(Comparator.comparingInt(item -> -item.text().lastEvent()))
            .toList();
    List<BatchRowCodec.Slice> slices = new ArrayList<>();
    for (ItemProgress item : unsaved) {
      List<BatchRowCodec.Slice> itemSlices =
          BatchRowCodec.textRows(item.item().index(), item.text());
      if (slices.size() + itemSlices.size() <= BatchRowCodec.MAX_ROWS_PER_WRITE) {
        slices.addAll(itemSlices);
        savedEvents.put(item, item.text().lastEvent());
      }
    }
    if (slices.isEmpty()) {
      return;
    }
    nextSaveMs = nowMs + TEXT_SAVE_INTERVAL_MS;
    saving = true;
    saveRows(slices)
        .whenComplete(
            Failures.loggingExceptions(
                (done, failure) -> {
                  saving = false;
                  if (failure != null) {
                    logSaveFailure(failure);
                  }
                }));
  }

  /** Complete texts are saved when their score is overdue, as nothing else may be left to do. */
  private boolean isWorthSaving(ItemProgress item, long nowMs) {
    int unsavedEvents = item.text().lastEvent() - savedEvents(item);
    return item.scoring()
        .map(progress -> progress.elapsedMs(nowMs) >= TEXT_SAVE_INTERVAL_MS && unsavedEvents > 0)
        .orElse(item.isRunning() && unsavedEvents >= MIN_UNSAVED_EVENTS);
  }

  private int savedEvents(ItemProgress item) {
    return savedEvents.getOrDefault(item, 0);
  }

  private void commit() {
    if (closed) {
      return;
    }
    List<ItemResult> results =
        batch.beginCommit(
            MAX_RESULTS_PER_COMMIT, MAX_COMMIT_BYTES, result -> result.text().length());
    if (!results.isEmpty()) {
      writeResults();
    }
  }

  private void writeResults() {
    int first = batch.listed();
    List<ItemResult> committing = batch.committing();
    PartitionWrite.Builder write =
        PartitionWrite.in(batch.submission().id())
            .expect(ControlTables.CONTROL, ControlTables.OWNER, owner.version())
            .expect(
                BatchRowCodec.RESULT_TABLE,
                BatchRowCodec.firstRowKey(first),
                PartitionWrite.ABSENT);
    for (int i = 0; i < committing.size(); i++) {
      BatchRowCodec.putResult(write, first + i, committing.get(i));
    }
    if (first + committing.size() == batch.items().size()) {
      write.remove(ControlTables.CONTROL, ControlTables.OWNER);
    }
    store
        .commit(write.build())
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  if (closed) {
                    return;
                  }
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("commit-unsettled")
                            .with("batch", batch.submission().id())
                            .with("position", first)
                            .with("reason", Failures.unwrap(failure).getMessage()));
                    loop.schedule(this::writeResults, COMMIT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                    return;
                  }
                  switch (result) {
                    case WriteResult.Committed done -> onCommitted();
                    case WriteResult.Conflict conflict -> onConflict(conflict, first);
                  }
                }));
  }

  private void onCommitted() {
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("results-listed")
            .with("batch", batch.submission().id())
            .with("position", batch.listed())
            .with("count", batch.committing().size()));
    int count = batch.committing().size();
    batch.onCommitted();
    listener.onListed(batch.submission().id(), count);
    if (batch.isComplete()) {
      close(OwnerChange.COMPLETE, "all results are listed");
    } else {
      commit();
    }
  }

  /**
   * Distinguishes an own commit whose response was lost from a batch that was taken over or ended.
   */
  private void onConflict(WriteResult.Conflict conflict, int first) {
    Row firstRow = conflict.find(BatchRowCodec.RESULT_TABLE, BatchRowCodec.firstRowKey(first));
    Row ownerRow = conflict.find(ControlTables.CONTROL, ControlTables.OWNER);
    boolean stillOwner = ownerRow != null && ownerRow.version() == owner.version();
    boolean last = first + batch.committing().size() == batch.items().size();
    if (firstRow != null && (stillOwner || (last && ownerRow == null))) {
      onCommitted();
    } else {
      close(
          ownerRow == null ? OwnerChange.ENDED : OwnerChange.LOST,
          "a commit conflicted with a changed or removed owner row");
    }
  }

  /**
   * Stops running the batch and saves the partial texts and the failures that are not saved yet, so
   * that another node can continue them.
   *
   * @return completes when they are saved or saving them has failed
   */
  CompletionStage<Void> handOver() {
    List<BatchRowCodec.Slice> slices = new ArrayList<>(failureSaver.unsavedRows());
    for (ItemProgress item : batch.items()) {
      if (!item.isFinished() && item.text().lastEvent() > 0) {
        slices.addAll(BatchRowCodec.textRows(item.item().index(), item.text()));
      }
    }
    close(OwnerChange.HANDED_OVER, "the node is stopping");
    CompletionStage<Void> saved = CompletableFuture.completedFuture(null);
    int maxRows = BatchRowCodec.MAX_ROWS_PER_WRITE;
    for (int start = 0; start < slices.size(); start += maxRows) {
      List<BatchRowCodec.Slice> part =
          slices.subList(start, Math.min(slices.size(), start + maxRows));
      saved = saved.thenCompose(done -> saveRows(part));
    }
    return saved.exceptionally(
        failure -> {
          logSaveFailure(failure);
          return null;
        });
  }

  private void logSaveFailure(Throwable failure) {
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("texts-not-kept")
            .with("batch", batch.submission().id())
            .with("reason", Failures.unwrap(failure).getMessage()));
  }

  private CompletionStage<Void> saveRows(List<BatchRowCodec.Slice> slices) {
    PartitionWrite.Builder write =
        PartitionWrite.in(batch.submission().id())
            .expect(ControlTables.CONTROL, ControlTables.OWNER, owner.version());
    slices.forEach(slice -> write.put(BatchRowCodec.BATCH_TABLE, slice.key(), slice.bytes()));
    return store.commit(write.build()).thenApply(result -> null);
  }

  /** Stops running the batch. Committed results remain. */
  void close(OwnerChange change, String reason) {
    if (closed) {
      return;
    }
    closed = true;
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("batch-closed")
            .with("batch", batch.submission().id())
            .with("listed", batch.listed())
            .with("items", batch.items().size())
            .with("change", change)
            .with("reason", reason));
    List.copyOf(runs.values()).forEach(ItemRun::cancel);
    runs.clear();
    scheduler.remove(this);
    scores.remove(this);
    listener.onClosed(this, change);
  }
}
