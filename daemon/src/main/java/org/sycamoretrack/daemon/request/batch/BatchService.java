package org.sycamoretrack.daemon.request.batch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.DemandMeter;
import org.sycamoretrack.core.request.batch.ItemResult;
import org.sycamoretrack.core.request.batch.OpenBatch;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.core.version.routing.RouteKind;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics.OwnerChange;
import org.sycamoretrack.daemon.version.deployment.BatchOwners;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.transport.process.Json;

/**
 * Accepts batches, runs the batches that this node owns, and ends batches of any owner. {@link
 * #reader} reads batches of any owner.
 *
 * <p>The store is authoritative: a batch is accepted when its rows are committed, and every node
 * serves readers from committed rows. The node that accepts a batch is its first owner; another
 * node takes over by rewriting the owner row on the condition that its version is unchanged.
 *
 * <p>Confined to the traffic loop, on which the store completes its futures.
 */
public final class BatchService implements BatchRunner.Listener {
  /** Time limit for storing a batch; shorter than the time a submitter waits for its response. */
  private static final long ACCEPT_TIMEOUT_MS = 3_500;

  private static final long RETRY_DELAY_MS = 150;

  private static final System.Logger LOG = System.getLogger(BatchService.class.getName());

  /** The outcome of a submission. */
  public enum Acceptance {
    /** The batch is stored. */
    ACCEPTED,
    /** The batch isn't stored and won't run. */
    NOT_ACCEPTED,
    /** The batch may be stored already or later. */
    UNKNOWN,
    /** A batch of another customer has the id; nothing is stored. */
    OTHER_CUSTOMER
  }

  private final PartitionedStore store;
  private final BatchScheduler scheduler;
  private final ScoreScheduler scores;
  private final EventLoop loop;
  private final String nodeId;
  private final String incarnation;
  private final StoreBackedNodeMetrics metrics;
  private final Map<String, BatchRunner> runners = new HashMap<>();
  private final Map<String, Boolean> takingOver = new HashMap<>();
  private final BatchReader reader;
  private final DemandMeter demandMeter = new DemandMeter(BatchScheduler.TOKENS_PER_EVENT);
  private BatchOwners owners = BatchOwners.NOT_READ;
  private boolean ownersCurrent = true;
  private boolean stopping;

  /**
   * Creates a service.
   *
   * @param store the store, which completes its futures on the loop
   * @param scheduler assigns slots to items
   * @param scores sends the scoring calls of items
   * @param loop the traffic loop
   * @param nodeId the id of this node
   * @param incarnation the id of the current run of the node's process
   * @param metrics counts submissions, results and changes of owners
   */
  BatchService(
      PartitionedStore store,
      BatchScheduler scheduler,
      ScoreScheduler scores,
      EventLoop loop,
      String nodeId,
      String incarnation,
      StoreBackedNodeMetrics metrics) {
    this.store = store;
    this.scheduler = scheduler;
    this.scores = scores;
    this.loop = loop;
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.metrics = metrics;
    this.reader = new BatchReader(store, loop, this::openSubmission);
  }

  /** Returns the number of batches that this node runs. */
  public int openCount() {
    return runners.size();
  }

  /**
   * Accepts a batch. Submitting the same batch again has no further effect. The id of a batch that
   * its customer may not access is refused.
   *
   * @param batch the batch
   * @return the outcome
   */
  public CompletionStage<Acceptance> accept(BatchSubmission batch) {
    BatchRunner runner = runners.get(batch.id());
    if (runner != null) {
      return CompletableFuture.completedFuture(
          onStored(batch, runner.batch().submission().customer()));
    }
    CompletableFuture<Acceptance> outcome = new CompletableFuture<>();
    List<PartitionWrite.Builder> writes = BatchRowCodec.submissionWrites(batch);
    Owner owner = new Owner(batch.id(), nodeId, incarnation, 0);
    writes
        .get(writes.size() - 1)
        .put(ControlTables.CONTROL, ControlTables.OWNER, ControlTables.encode(owner));
    new SubmissionWriter(
            batch, writes.stream().map(PartitionWrite.Builder::build).toList(), outcome)
        .writeNext();
    return outcome;
  }

  /** Returns the outcome of a submission whose id belongs to a stored batch. */
  private Acceptance onStored(BatchSubmission batch, String storedCustomer) {
    return BatchReader.mayAccess(scheduler.customerOf(batch), batch.id(), storedCustomer)
        ? Acceptance.ACCEPTED
        : Acceptance.OTHER_CUSTOMER;
  }

  /** Executes the writes of one submission in sequence, with retries. */
  private final class SubmissionWriter {
    private final BatchSubmission batch;
    private final List<PartitionWrite> writes;
    private final CompletableFuture<Acceptance> outcome;
    private final long startedMs = MonotonicClock.nowMs();
    private final long deadlineMs = startedMs + ACCEPT_TIMEOUT_MS;
    private int next;
    private boolean maybeStored;

    private SubmissionWriter(
        BatchSubmission batch, List<PartitionWrite> writes, CompletableFuture<Acceptance> outcome) {
      this.batch = batch;
      this.writes = writes;
      this.outcome = outcome;
    }

    private void writeNext() {
      store
          .commit(writes.get(next))
          .whenComplete(
              Failures.loggingExceptions(
                  (result, failure) -> {
                    if (failure != null) {
                      onFailure(failure);
                      return;
                    }
                    switch (result) {
                      case WriteResult.Committed committed -> onCommitted(committed.version());
                      case WriteResult.Conflict conflict -> onConflict(conflict);
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
      Owner owner = new Owner(batch.id(), nodeId, incarnation, version);
      run(new OpenBatch(batch, List.of()), owner, OwnerChange.ACCEPTED);
      end(Acceptance.ACCEPTED);
    }

    private void onConflict(WriteResult.Conflict conflict) {
      Row head = conflict.find(BatchRowCodec.BATCH_TABLE, BatchRowCodec.HEAD_KEY);
      if (head == null) {
        retry();
        return;
      }
      // The conflicting head may be this submission's own, committed by a write whose response was
      // lost. In that case the batch is run once the owner table shows it.
      end(onStored(batch, BatchRowCodec.readHead(head).customer()));
    }

    private void onFailure(Throwable failure) {
      maybeStored |= isLast() && Failures.outcome(failure) != ExecutionOutcome.NOT_RUN;
      LOG.log(
          System.Logger.Level.WARNING,
          LogEvent.of("accept-unsettled")
              .with("batch", batch.id())
              .with("outcome", Failures.outcome(failure))
              .with("reason", Failures.unwrap(failure).getMessage()));
      retry();
    }

    private void retry() {
      if (MonotonicClock.nowMs() + RETRY_DELAY_MS < deadlineMs) {
        loop.schedule(this::writeNext, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
      } else {
        end(maybeStored ? Acceptance.UNKNOWN : Acceptance.NOT_ACCEPTED);
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
      metrics.onRequest(
          RouteKind.BATCH,
          acceptance.name().toLowerCase(Locale.ROOT),
          MonotonicClock.nowMs() - startedMs);
      outcome.complete(acceptance);
    }
  }

  private void run(OpenBatch openBatch, Owner owner, OwnerChange change) {
    String batchId = owner.batchId();
    BatchRunner runner = new BatchRunner(openBatch, owner, store, scheduler, scores, loop, this);
    runners.put(batchId, runner);
    runner.resumeEndedItems();
    scheduler.add(runner);
    metrics.onOwnerChange(change);
    // The owner row may have been replaced or removed while the batch was read.
    applyOwners(runner);
  }

  /**
   * Takes over a batch from an owner that is no longer alive.
   *
   * @param previous the owner row as last read
   */
  public void takeOver(Owner previous) {
    String batchId = previous.batchId();
    if (stopping || runners.containsKey(batchId) || takingOver.containsKey(batchId)) {
      return;
    }
    takingOver.put(batchId, true);
    PartitionWrite write =
        PartitionWrite.in(batchId)
            .expect(ControlTables.CONTROL, ControlTables.OWNER, previous.version())
            .put(
                ControlTables.CONTROL,
                ControlTables.OWNER,
                ControlTables.encode(new Owner(batchId, nodeId, incarnation, 0)))
            .build();
    store
        .commit(write)
        .thenCompose(
            result ->
                switch (result) {
                  case WriteResult.Committed committed ->
                      resume(new Owner(batchId, nodeId, incarnation, committed.version()));
                  case WriteResult.Conflict conflict ->
                      CompletableFuture.<Void>completedFuture(null);
                })
        .whenComplete(
            Failures.loggingExceptions(
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

  /** Reads a batch whose owner row this node has written, and continues it. */
  private CompletionStage<Void> resume(Owner owner) {
    String batchId = owner.batchId();
    return store
        .scanAll(BatchRowCodec.BATCH_TABLE, batchId)
        .thenCombine(
            store.scanAll(BatchRowCodec.RESULT_TABLE, batchId),
            (batchPage, resultPage) -> {
              List<Row> rows = batchPage.rows();
              if (BatchRowCodec.isEnded(rows)) {
                LOG.log(
                    System.Logger.Level.INFO,
                    LogEvent.of("takeover-of-ended-batch").with("batch", batchId));
                return null;
              }
              BatchSubmission submission = BatchRowCodec.readSubmission(batchId, rows);
              List<String> listed =
                  BatchRowCodec.readResults(resultPage.rows()).stream()
                      .map(ItemResult::itemId)
                      .toList();
              OpenBatch openBatch = new OpenBatch(submission, listed);
              BatchRowCodec.readTexts(rows)
                  .forEach((index, text) -> openBatch.items().get(index).restore(text));
              BatchRowCodec.restoreFailures(rows, openBatch.items());
              LOG.log(
                  System.Logger.Level.INFO,
                  LogEvent.of("batch-taken-over")
                      .with("batch", batchId)
                      .with("listed", listed.size())
                      .with("ownerVersion", owner.version()));
              if (!stopping && !runners.containsKey(batchId)) {
                run(openBatch, owner, OwnerChange.TAKEN_OVER);
              }
              return null;
            });
  }

  /**
   * Processes the owner rows read from the store. Stops running batches that have another owner or
   * none.
   *
   * @param newOwners the owners
   * @param ageMs the time in milliseconds since the rows were last known to be current
   * @param maxAgeMs the age in milliseconds from which no new runs may start
   */
  public void onOwners(BatchOwners newOwners, long ageMs, long maxAgeMs) {
    owners = newOwners;
    ownersCurrent = ageMs < maxAgeMs;
    List.copyOf(runners.values()).forEach(this::applyOwners);
  }

  private void applyOwners(BatchRunner runner) {
    runner.setMayDispatch(ownersCurrent);
    switch (owners.stateOf(runner.owner())) {
      case NOT_READ, CURRENT -> {
        // This node still owns the batch, as far as is known.
      }
      case REPLACED ->
          runner.close(
              OwnerChange.LOST,
              "taken over by node " + owners.byBatchId().get(runner.owner().batchId()).nodeId());
      case REMOVED -> runner.close(OwnerChange.ENDED, "the owner row was removed");
    }
  }

  private Optional<BatchSubmission> openSubmission(String batchId) {
    return Optional.ofNullable(runners.get(batchId)).map(runner -> runner.batch().submission());
  }

  @Override
  public void onListed(String batchId, int count) {
    metrics.onResultsListed(count);
    reader.onListed(batchId);
  }

  @Override
  public void onClosed(BatchRunner runner, OwnerChange change) {
    runners.remove(runner.owner().batchId(), runner);
    metrics.onOwnerChange(change);
    reader.onListed(runner.owner().batchId());
  }

  /**
   * Measures the demand of the batches that this node runs. Call about once a second on the traffic
   * loop.
   *
   * @return the demand by service
   */
  public Map<String, ServiceDemand> measureDemand() {
    return demandMeter.measure(
        runners.values().stream().map(BatchRunner::batch).toList(),
        MonotonicClock.nowMs(),
        System.currentTimeMillis());
  }

  /** Returns the batches that this node runs, for the state dump. Call on the traffic loop. */
  public ArrayNode dump() {
    ArrayNode json = Json.mapper().createArrayNode();
    long nowMs = MonotonicClock.nowMs();
    for (BatchRunner runner : runners.values()) {
      OpenBatch batch = runner.batch();
      ObjectNode row = json.addObject().put("id", batch.submission().id());
      if (!batch.submission().customer().isEmpty()) {
        row.put("customer", batch.submission().customer());
      }
      row.put("ownerVersion", runner.owner().version())
          .put("minVersion", batch.submission().minVersion())
          .put("ageMs", System.currentTimeMillis() - batch.submission().acceptedAtMs())
          .put("items", batch.items().size())
          .put("listed", batch.listed())
          .put("running", runner.runs().size())
          .put("scoring", batch.scoringCount())
          .put("waiting", batch.waitingCount(nowMs))
          .put("mayStartRuns", runner.mayDispatch());
    }
    return json;
  }

  /** Returns the reader of batches of any owner. */
  public BatchReader reader() {
    return reader;
  }

  /**
   * Ends a batch. Committed results remain, unfinished items are not run.
   *
   * @param batchId the id of the batch
   * @return whether the batch exists
   */
  public CompletionStage<Boolean> end(String batchId) {
    return reader
        .head(batchId)
        .thenCompose(
            head -> {
              if (head.isEmpty()) {
                return CompletableFuture.completedFuture(false);
              }
              PartitionWrite write =
                  PartitionWrite.in(batchId)
                      .put(BatchRowCodec.BATCH_TABLE, BatchRowCodec.END_KEY, new byte[] {'1'})
                      .remove(ControlTables.CONTROL, ControlTables.OWNER)
                      .build();
              return store.commit(write).thenApply(result -> onEnded(batchId, result));
            });
  }

  private boolean onEnded(String batchId, WriteResult result) {
    if (!(result instanceof WriteResult.Committed)) {
      throw new SycamoreException(
          ErrorCode.PLATFORM_UNAVAILABLE,
          ExecutionOutcome.NOT_RUN,
          "the row that marks the end of the batch was not written");
    }
    BatchRunner runner = runners.get(batchId);
    if (runner != null) {
      runner.close(OwnerChange.ENDED, "ended by the submitter");
    }
    return true;
  }

  /**
   * Stops running all batches, so that other nodes can take them over.
   *
   * @return completes when the partial texts are saved
   */
  public CompletionStage<Void> handOver() {
    stopping = true;
    scheduler.stop();
    List<CompletableFuture<Void>> saved =
        List.copyOf(runners.values()).stream()
            .map(runner -> runner.handOver().toCompletableFuture())
            .toList();
    return CompletableFuture.allOf(saved.toArray(CompletableFuture[]::new));
  }
}
