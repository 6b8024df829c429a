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
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.RecordedAnswer;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.TransactionResult;

/**
 * One key range as this node sees it: taking it, reading its batches, writing new ones, giving it
 * back. Confined to the control thread.
 *
 * <pre>
 *   UNOWNED --wanted--> TAKING --committed--> RECOVERING --all batches read--> OWNED
 *      ^                  |                       |                              | unwanted
 *      +---- failed ------+------- failed --------+                              v
 *      +---- fenced, or released <----------------------------------------- DRAINING
 * </pre>
 *
 * <p>The range's row names its owner and epoch. Taking the range writes the row, and each batch is
 * written in a transaction that checks the row's version; so once the range is taken no batch of
 * the owner before can be written, and all that were are read before the first claim is decided.
 *
 * <p>A batch whose answer is lost is read back under its number. When it is there it was committed.
 * When it isn't, the same batch is written again: its number is taken at most once, whichever of
 * the two writes comes first. While the table service doesn't answer at all, the callers are
 * refused as not run, and nobody runs their calls even if the batch turns out to be written.
 *
 * <p>If a read of the batches was stale, the first batch written meets a number that is taken by
 * another process, and the range is read anew before anything runs.
 */
final class ClaimRange {
  private static final int SCAN_LIMIT = 32;
  private static final int MAX_BACKOFF_SHIFT = 3;
  private static final int MAX_WAITING_CLAIMS = 256;
  private static final int MAX_DELETIONS_PER_WRITE = 8;

  private enum Phase {
    UNOWNED,
    ACQUIRING,
    RECOVERING,
    OWNED,
    DRAINING,
    RELEASING
  }

  /**
   * A claim that waits for the range to be taken. Its sender may have seen a change of members
   * before this node, so that it waits even while the range is not wanted here.
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

  /** Does what is due. */
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
      case ACQUIRING, RECOVERING, RELEASING -> {
        // The result of the call under way goes on from here.
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

  // Taking the range.

  private void acquire() {
    phase = Phase.ACQUIRING;
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
            case null -> onAcquireUnanswered(mayHaveOwnedBefore, failure);
          }
        });
  }

  private void onAcquireUnanswered(boolean mayHaveOwnedBefore, Throwable failure) {
    if (Failures.outcome(failure) == Outcome.NOT_RUN) {
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
   * A write whose answer was lost is found by the next attempt's read, or made again. While this
   * process may own the range the attempts go on, also when the range is no longer wanted: else it
   * would have an owner that doesn't know of it and never gives it back.
   */
  private void onAcquireFailed(Throwable failure) {
    tableUnavailable = true;
    context.log("claim-range-not-taken", name, failure);
    scheduleRetry();
  }

  /**
   * Tries again after twice the time of the try before, so that waiting for an owner costs little.
   */
  private void scheduleRetry() {
    phase = Phase.UNOWNED;
    owner = null;
    ledger = null;
    nextAttemptMs = context.nowMs() + (context.times().retryDelayMs() << backoffShift);
    backoffShift = Math.min(backoffShift + 1, MAX_BACKOFF_SHIFT);
    if (tableUnavailable) {
      refuseWaitingClaims();
    }
  }

  private void refuseWaitingClaims() {
    waitingClaims.forEach(each -> ClaimWaiters.refuse(each.future(), refusalCode()));
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

  // Deciding on claims.

  /** Decides on a claim, now or when the range was taken. */
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
          caller.complete(new ClaimDecision.Answered(answered.answer()));
      case ClaimLedger.Decision.AnswerInBatch stored ->
          readAnswer(key, stored.batchNumber(), caller);
      case ClaimLedger.Decision.InProgress inProgress ->
          waiters.addFollower(key, context.nowMs() + context.times().maxWaitMs(), caller);
      case ClaimLedger.Decision.Unsettled unsettled ->
          caller.complete(new ClaimDecision.Unsettled());
      case ClaimLedger.Decision.KeyReused reused -> caller.complete(new ClaimDecision.KeyReused());
      case ClaimLedger.Decision.Full full -> ClaimWaiters.refuse(caller, ErrorCode.OVERLOADED);
    }
  }

  private void readAnswer(String key, long number, CompletableFuture<ClaimDecision> caller) {
    context.onResult(
        context.table().readBatch(name, number),
        (batch, failure) -> {
          if (failure != null) {
            ClaimWaiters.refuse(caller, ErrorCode.PLATFORM_UNAVAILABLE);
          } else {
            caller.complete(findAnswer(key, batch));
          }
        });
  }

  private static ClaimDecision findAnswer(String key, Optional<ClaimBatch> batch) {
    for (ClaimEntry entry : batch.map(ClaimBatch::entries).orElse(List.of())) {
      if (entry instanceof ClaimEntry.Answered answered && answered.key().equals(key)) {
        return new ClaimDecision.Answered(answered.answer());
      }
    }
    return new ClaimDecision.Unsettled();
  }

  private void refuseCallers(ErrorCode code) {
    waiters.refuse(ledger.refuseWaiting(), code);
  }

  /** Returns whether the table service failed and it isn't time to try it again. */
  private boolean isTableBackoffActive() {
    return tableUnavailable && context.nowMs() < nextAttemptMs;
  }

  // Recording outcomes.

  void settle(String key, RecordedAnswer answer, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.settle(key, answer, context.epochMs())) {
      ClaimWaiters.failRecording(recorded);
      return;
    }
    waiters.addRecording(key, recorded);
    waiters.answerFollowers(key, new ClaimDecision.Answered(answer));
    writeNextBatch();
  }

  void release(String key, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.release(key, context.epochMs())) {
      ClaimWaiters.failRecording(recorded);
      return;
    }
    waiters.addRecording(key, recorded);
    waiters.answerFollowers(key, new ClaimDecision.Refused(ErrorCode.OVERLOADED));
    writeNextBatch();
  }

  void leaveUnsettled(String key) {
    if (ledger != null && ledger.leaveUnsettled(key, context.epochMs())) {
      waiters.answerFollowers(key, new ClaimDecision.Unsettled());
    }
  }

  // Writing batches.

  private void writeNextBatch() {
    long nowMs = context.nowMs();
    if (batchCallInFlight || nowMs < nextAttemptMs || !mayWrite()) {
      return;
    }
    if (ledger.underWay().isPresent()) {
      readBack(ledger.underWay().get(), false);
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

  /** Takes a result unless the range was lost meanwhile, and all that waited was told so. */
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
    if (Failures.outcome(failure) != Outcome.NOT_RUN) {
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

  /** Nothing more can be written: the range was taken or given back, or must be read anew. */
  private void onOwnershipLost() {
    context.log("claim-range-lost", name, null);
    refuseCallers(ErrorCode.LEASE_LOST);
    waiters.onRangeLost();
    batchCallInFlight = false;
    scheduleRetry();
  }

  // Giving the range back.

  private void drain(long nowMs) {
    if (assigned) {
      phase = Phase.OWNED;
      return;
    }
    writeNextBatch();
    boolean timedOut = nowMs - drainStartMs >= context.times().drainTimeoutMs();
    if (phase == Phase.DRAINING && !batchCallInFlight && (ledger.isQuiet() || timedOut)) {
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
