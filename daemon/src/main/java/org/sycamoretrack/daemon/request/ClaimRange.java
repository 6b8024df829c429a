package org.sycamoretrack.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.ClaimBatch;
import org.sycamoretrack.core.request.ClaimEntry;
import org.sycamoretrack.core.request.ClaimLedger;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.TransactionResult;

/**
 * One key range on this node: acquires it, recovers its ledger from the stored batches, writes new
 * batches, and releases it. Confined to the control thread.
 *
 * <pre>
 *   UNOWNED --assigned---> TAKING ---committed--> RECOVERING --all batches read--> OWNED
 *      ^                      |                        |                            | unassigned
 *      +------- failed -------+-------- failed --------+                            v
 *      +------- fenced (from OWNED or DRAINING) ------------------------------- DRAINING
 *      +------- released ------------ RELEASING <------- no running calls, or timed out
 * </pre>
 *
 * <p>The range's row names its owner and epoch. Acquiring the range writes this row, and each batch
 * is written in a transaction that checks the row's version. Once the range is acquired, the
 * previous owner can therefore write no more batches, and all batches that it wrote are read before
 * the first claim is decided.
 *
 * <p>When the response to a batch write is lost, the batch is read back by its number. If it is
 * found, it was committed. If not, the same batch is written again; only one of the two writes can
 * succeed, since the number must be free. While the table service does not respond at all, the
 * callers are refused as not run, and their calls are not run for them even if the batch turns out
 * to have been written.
 *
 * <p>If the batches were read from a stale copy, the first write conflicts with a batch of another
 * process under the same number. The range is then read again before any call runs.
 */
final class ClaimRange {
  private static final int SCAN_LIMIT = 32;
  private static final int MAX_BACKOFF_SHIFT = 3;
  private static final int MAX_WAITING_CLAIMS = 256;
  private static final int MAX_DELETIONS_PER_WRITE = 8;

  private enum Phase {
    UNOWNED,
    TAKING,
    RECOVERING,
    OWNED,
    DRAINING,
    RELEASING
  }

  /**
   * A claim that waits until the range is acquired. Its sender may have learned of a membership
   * change earlier than this node, so it waits even while the range is not assigned to this node.
   */
  private record WaitingClaim(
      String key, String fingerprint, long deadlineMs, CompletableFuture<ClaimDecision> future) {}

  private final String name;
  private final ClaimContext context;
  private final Deque<WaitingClaim> waitingClaims = new ArrayDeque<>();
  private final ClaimWaiters waiters = new ClaimWaiters();
  private Phase phase = Phase.UNOWNED;
  private boolean assigned;
  private ClaimTable.Owner owner;
  private ClaimLedger ledger;
  private long nextAttemptMs = Long.MIN_VALUE;
  private long drainStartMs;
  private long lastWriteMs;
  private int backoffShift;
  // Whether the owner row may name this process as the owner: set before the row is written,
  // cleared only when the row is known not to name it.
  private boolean mayOwn;
  private long expectedOwnerVersion;
  private boolean tableUnavailable;
  private boolean batchCallInFlight;
  private boolean batchMayBeWritten;
  private List<Long> expiredBatches = List.of();

  ClaimRange(String name, ClaimContext context) {
    this.name = name;
    this.context = context;
  }

  boolean isOwned() {
    return phase == Phase.OWNED;
  }

  boolean isUnowned() {
    return phase == Phase.UNOWNED && !mayOwn;
  }

  long epoch() {
    return owner == null ? 0 : owner.epoch();
  }

  int keyCount() {
    return ledger == null ? 0 : ledger.keyCount();
  }

  /** Advances the state machine and does the work that is due. */
  void poll(boolean assigned, boolean leaseHeld) {
    this.assigned = assigned;
    long nowMs = context.nowMs();
    expireWaitingClaims(nowMs);
    switch (phase) {
      case UNOWNED -> {
        if (!assigned) {
          backoffShift = 0;
        }
        if ((mayOwn || (assigned && leaseHeld)) && nowMs >= nextAttemptMs) {
          acquire();
        }
      }
      case OWNED -> {
        if (!assigned) {
          phase = Phase.DRAINING;
          drainStartMs = nowMs;
        }
        writeNextBatch();
      }
      case DRAINING -> drain(nowMs);
      case TAKING, RECOVERING, RELEASING -> {
        // The callback of the table call in flight makes the next transition.
      }
    }
  }

  private void expireWaitingClaims(long nowMs) {
    while (!waitingClaims.isEmpty() && waitingClaims.peek().deadlineMs() <= nowMs) {
      ClaimWaiters.refuse(waitingClaims.poll().future(), refusalCode());
    }
    waiters.expireFollowers(nowMs);
  }

  private ErrorCode refusalCode() {
    return tableUnavailable ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.LEASE_LOST;
  }

  // Acquisition of the range.

  private void acquire() {
    phase = Phase.TAKING;
    context.onResult(
        context.table().readOwner(name),
        (found, failure) -> {
          if (failure != null) {
            onAcquireFailed(failure);
          } else {
            onOwnerRead(found);
          }
        });
  }

  private void onOwnerRead(ClaimTable.Owner found) {
    tableUnavailable = false;
    if (found.writer().equals(context.writer()) && !found.released()) {
      recover(found);
      return;
    }
    mayOwn = mayOwn && found.version() == expectedOwnerVersion;
    if (mayOwn) {
      acquireFrom(found);
    } else if (!assigned) {
      scheduleRetry();
    } else if (found.released() || found.nodeId().equals(context.nodeId())) {
      acquireFrom(found);
    } else {
      acquireIfOwnerGone(found);
    }
  }

  private void acquireIfOwnerGone(ClaimTable.Owner found) {
    long sentMs = context.nowMs();
    context.onResult(
        context.ownerMonitor().readLease(found.nodeId()),
        (lease, failure) -> {
          if (failure != null) {
            onAcquireFailed(failure);
          } else if (context.isOwnerGone(found, lease, sentMs)) {
            acquireFrom(found);
          } else {
            scheduleRetry();
          }
        });
  }

  private void acquireFrom(ClaimTable.Owner found) {
    ClaimTable.Owner next =
        new ClaimTable.Owner(
            found.version(), context.nodeId(), context.writer(), found.epoch() + 1, false);
    boolean mayHaveOwnedBefore = mayOwn;
    mayOwn = true;
    expectedOwnerVersion = found.version();
    context.onResult(
        context.table().writeOwner(name, next),
        (result, failure) -> {
          switch (result) {
            case TransactionResult.Committed committed -> recover(withVersion(next, committed));
            case TransactionResult.Conflict conflict -> scheduleRetry();
            case null -> onOwnerWriteFailed(mayHaveOwnedBefore, failure);
          }
        });
  }

  private void onOwnerWriteFailed(boolean mayHaveOwnedBefore, Throwable failure) {
    if (Failures.outcome(failure) == ExecutionOutcome.NOT_RUN) {
      mayOwn = mayHaveOwnedBefore;
      onAcquireFailed(failure);
    } else {
      scheduleRetry();
    }
  }

  private static ClaimTable.Owner withVersion(
      ClaimTable.Owner owner, TransactionResult.Committed committed) {
    return new ClaimTable.Owner(
        committed.versions().getFirst(), owner.nodeId(), owner.writer(), owner.epoch(), false);
  }

  /**
   * Handles a failed table call during acquisition. If the response to an owner write was lost, the
   * next attempt finds the write by reading the row, or repeats it. Attempts continue as long as
   * this process may own the range, even when the range is no longer assigned to this node;
   * otherwise the row could name an owner that does not know it and never releases the range.
   */
  private void onAcquireFailed(Throwable failure) {
    tableUnavailable = true;
    context.log("claim-range-not-taken", name, failure);
    scheduleRetry();
  }

  /**
   * Schedules the next attempt with exponential backoff, so that waiting for another owner causes
   * little load on the table service.
   */
  private void scheduleRetry() {
    phase = Phase.UNOWNED;
    owner = null;
    ledger = null;
    nextAttemptMs = context.nowMs() + (context.times().retryDelayMs() << backoffShift);
    backoffShift = Math.min(backoffShift + 1, MAX_BACKOFF_SHIFT);
    if (tableUnavailable) {
      refuseWaitingClaims(refusalCode());
    }
  }

  /** Refuses the claims that wait until the range is acquired. */
  void refuseWaitingClaims(ErrorCode code) {
    waitingClaims.forEach(claim -> ClaimWaiters.refuse(claim.future(), code));
    waitingClaims.clear();
  }

  private void recover(ClaimTable.Owner acquired) {
    phase = Phase.RECOVERING;
    owner = acquired;
    ledger = new ClaimLedger(context.limits(), acquired.epoch(), context.writer());
    scanBatches(-1);
  }

  private void scanBatches(long after) {
    context.onResult(
        context.table().scanBatches(name, after, SCAN_LIMIT),
        (batches, failure) -> {
          if (failure != null) {
            onAcquireFailed(failure);
          } else {
            onBatchesScanned(batches);
          }
        });
  }

  private void onBatchesScanned(List<ClaimBatch> batches) {
    try {
      batches.forEach(ledger::recover);
    } catch (IllegalArgumentException e) {
      onAcquireFailed(e);
      return;
    }
    if (batches.size() == SCAN_LIMIT) {
      scanBatches(batches.getLast().number());
    } else {
      onOwned();
    }
  }

  private void onOwned() {
    phase = Phase.OWNED;
    backoffShift = 0;
    tableUnavailable = false;
    lastWriteMs = context.nowMs();
    context.log("claim-range-taken", name, null);
    while (!waitingClaims.isEmpty()) {
      WaitingClaim next = waitingClaims.poll();
      decide(next.key(), next.fingerprint(), next.future());
    }
    writeNextBatch();
  }

  // Decisions on claims.

  /** Decides on a claim, immediately or once the range is acquired. */
  void claim(String key, String fingerprint, CompletableFuture<ClaimDecision> caller) {
    if (phase == Phase.OWNED) {
      decide(key, fingerprint, caller);
      writeNextBatch();
    } else if (phase == Phase.DRAINING || phase == Phase.RELEASING) {
      ClaimWaiters.refuse(caller, ErrorCode.LEASE_LOST);
    } else if (tableUnavailable) {
      ClaimWaiters.refuse(caller, ErrorCode.PLATFORM_UNAVAILABLE);
    } else if (waitingClaims.size() >= MAX_WAITING_CLAIMS) {
      ClaimWaiters.refuse(caller, ErrorCode.OVERLOADED);
    } else {
      waitingClaims.add(
          new WaitingClaim(
              key, fingerprint, context.nowMs() + context.times().maxWaitMs(), caller));
    }
  }

  private void decide(String key, String fingerprint, CompletableFuture<ClaimDecision> caller) {
    switch (ledger.claim(key, fingerprint, context.epochMs())) {
      case ClaimLedger.Decision.Queued queued -> {
        waiters.addCaller(key, caller);
        if (isTableBackoffActive()) {
          refuseCallers(ErrorCode.PLATFORM_UNAVAILABLE);
        }
      }
      case ClaimLedger.Decision.Run run -> caller.complete(new ClaimDecision.Run());
      case ClaimLedger.Decision.Answered answered ->
          caller.complete(new ClaimDecision.Answered(answered.response()));
      case ClaimLedger.Decision.ResponseInBatch stored ->
          readResponse(key, stored.batchNumber(), caller);
      case ClaimLedger.Decision.InProgress inProgress ->
          waiters.addFollower(key, context.nowMs() + context.times().maxWaitMs(), caller);
      case ClaimLedger.Decision.Unsettled unsettled ->
          caller.complete(new ClaimDecision.Unsettled());
      case ClaimLedger.Decision.KeyReused reused -> caller.complete(new ClaimDecision.KeyReused());
      case ClaimLedger.Decision.Full full -> ClaimWaiters.refuse(caller, ErrorCode.OVERLOADED);
    }
  }

  private void readResponse(String key, long number, CompletableFuture<ClaimDecision> caller) {
    context.onResult(
        context.table().readBatch(name, number),
        (batch, failure) -> {
          if (failure != null) {
            ClaimWaiters.refuse(caller, ErrorCode.PLATFORM_UNAVAILABLE);
          } else {
            caller.complete(findResponse(key, batch));
          }
        });
  }

  private static ClaimDecision findResponse(String key, Optional<ClaimBatch> batch) {
    for (ClaimEntry entry : batch.map(ClaimBatch::entries).orElse(List.of())) {
      if (entry instanceof ClaimEntry.Answered answered && answered.key().equals(key)) {
        return new ClaimDecision.Answered(answered.response());
      }
    }
    return new ClaimDecision.Unsettled();
  }

  private void refuseCallers(ErrorCode code) {
    waiters.refuse(ledger.refuseUncommitted(), code);
  }

  /**
   * Returns whether the last call of the table service failed and its retry delay has not elapsed.
   */
  private boolean isTableBackoffActive() {
    return tableUnavailable && context.nowMs() < nextAttemptMs;
  }

  // Recording of outcomes.

  void recordResponse(String key, RecordedResponse response, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.recordResponse(key, response, context.epochMs())) {
      ClaimWaiters.failRecording(recorded);
      return;
    }
    waiters.addRecording(key, recorded);
    waiters.completeFollowers(key, new ClaimDecision.Answered(response));
    writeNextBatch();
  }

  void release(String key, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.release(key, context.epochMs())) {
      ClaimWaiters.failRecording(recorded);
      return;
    }
    waiters.addRecording(key, recorded);
    waiters.completeFollowers(key, new ClaimDecision.Refused(ErrorCode.OVERLOADED));
    writeNextBatch();
  }

  void markUnsettled(String key) {
    if (ledger != null && ledger.markUnsettled(key, context.epochMs())) {
      waiters.completeFollowers(key, new ClaimDecision.Unsettled());
    }
  }

  // Batch writes.

  private void writeNextBatch() {
    long nowMs = context.nowMs();
    if (batchCallInFlight || nowMs < nextAttemptMs || !mayWrite()) {
      return;
    }
    if (ledger.batchBeingWritten().isPresent()) {
      readBack(ledger.batchBeingWritten().get(), false);
    } else if (ledger.hasPendingClaims()
        || (ledger.hasPending() && nowMs - lastWriteMs >= context.times().settleLingerMs())) {
      expiredBatches = ledger.takeExpiredBatches(context.epochMs(), MAX_DELETIONS_PER_WRITE);
      batchMayBeWritten = false;
      append(ledger.nextBatch().orElseThrow());
    }
  }

  private boolean mayWrite() {
    return phase == Phase.OWNED || phase == Phase.DRAINING;
  }

  private void append(ClaimBatch batch) {
    lastWriteMs = context.nowMs();
    onBatchResult(
        context.table().append(name, owner.version(), batch, expiredBatches),
        (result, failure) -> {
          switch (result) {
            case TransactionResult.Committed committed -> {
              onCommitted();
              writeNextBatch();
            }
            case TransactionResult.Conflict conflict -> readBack(batch, isFenced(conflict));
            case null -> onAppendFailed(batch, failure);
          }
        });
  }

  /**
   * Passes on the result of a batch call, unless ownership was lost in the meantime: then all
   * waiters have already been completed.
   */
  private <T> void onBatchResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    ClaimLedger current = ledger;
    batchCallInFlight = true;
    context.onResult(
        stage,
        (value, failure) -> {
          if (ledger == current) {
            batchCallInFlight = false;
            action.accept(value, failure);
          }
        });
  }

  private static boolean isFenced(TransactionResult.Conflict conflict) {
    return conflict.rows().stream().anyMatch(row -> row.table().equals(ClaimTable.RANGES));
  }

  private void onAppendFailed(ClaimBatch batch, Throwable failure) {
    if (Failures.outcome(failure) != ExecutionOutcome.NOT_RUN) {
      batchMayBeWritten = true;
      readBack(batch, false);
      return;
    }
    onTableUnavailable(failure);
    if (!batchMayBeWritten) {
      ledger.onNotWritten();
    }
  }

  private void onTableUnavailable(Throwable failure) {
    tableUnavailable = true;
    nextAttemptMs = context.nowMs() + context.times().retryDelayMs();
    context.log("claim-batch-not-written", name, failure);
    refuseCallers(ErrorCode.PLATFORM_UNAVAILABLE);
  }

  private void readBack(ClaimBatch batch, boolean fenced) {
    onBatchResult(
        context.table().readBatch(name, batch.number()),
        (found, failure) -> {
          if (failure != null) {
            onTableUnavailable(failure);
          } else {
            onReadBack(batch, found, fenced);
          }
        });
  }

  private void onReadBack(ClaimBatch batch, Optional<ClaimBatch> found, boolean fenced) {
    if (found.isPresent() && found.get().equals(batch)) {
      onCommitted();
      if (fenced) {
        mayOwn = false;
        onOwnershipLost();
      } else {
        writeNextBatch();
      }
    } else if (found.isPresent() || fenced) {
      mayOwn = !fenced;
      ledger.onNotWritten();
      onOwnershipLost();
    } else {
      append(batch);
    }
  }

  private void onCommitted() {
    tableUnavailable = false;
    for (ClaimLedger.Event event : ledger.onCommitted()) {
      switch (event) {
        case ClaimLedger.Event.Run run -> waiters.completeWithRun(run.key());
        case ClaimLedger.Event.Recorded recorded -> waiters.onRecorded(recorded.key());
      }
    }
  }

  /**
   * Ends the ownership: another node took the range over, it was released, or it must be read
   * again. No more batches can be written under this ownership.
   */
  private void onOwnershipLost() {
    context.log("claim-range-lost", name, null);
    refuseCallers(ErrorCode.LEASE_LOST);
    waiters.onRangeLost();
    batchCallInFlight = false;
    scheduleRetry();
  }

  // Release of the range.

  private void drain(long nowMs) {
    if (assigned) {
      phase = Phase.OWNED;
      return;
    }
    writeNextBatch();
    boolean timedOut = nowMs - drainStartMs >= context.times().drainTimeoutMs();
    if (phase == Phase.DRAINING && !batchCallInFlight && (ledger.isIdle() || timedOut)) {
      releaseRange();
    }
  }

  private void releaseRange() {
    phase = Phase.RELEASING;
    ClaimTable.Owner released =
        new ClaimTable.Owner(owner.version(), owner.nodeId(), owner.writer(), owner.epoch(), true);
    context.onResult(
        context.table().writeOwner(name, released),
        (result, failure) -> {
          if (failure != null) {
            phase = Phase.DRAINING;
            nextAttemptMs = context.nowMs() + context.times().retryDelayMs();
          } else {
            mayOwn = false;
            onOwnershipLost();
          }
        });
  }
}
