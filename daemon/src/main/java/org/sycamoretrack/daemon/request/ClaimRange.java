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
  private static final int MAX_WAITING = 256;
  private static final int MAX_DELETED_AT_ONCE = 8;

  private enum Phase {
    UNOWNED,
    TAKING,
    RECOVERING,
    OWNED,
    DRAINING,
    RELEASING
  }

  /**
   * A claim that waits for the range to be taken. Its sender may have seen a change of members
   * before this node, so that it waits even while the range is not wanted here.
   */
  private record Waiting(
      String key, String fingerprint, long untilMs, CompletableFuture<ClaimDecision> caller) {}

  private final String name;
  private final ClaimContext context;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final ClaimCallers callers = new ClaimCallers();
  private Phase phase = Phase.UNOWNED;
  private boolean wanted;
  private ClaimTable.Owner owner;
  private ClaimLedger ledger;
  private long nextAttemptMs = Long.MIN_VALUE;
  private long drainingSinceMs;
  private long lastWriteMs;
  private int backoffShift;
  private boolean mayOwn;
  private long takenVersion;
  private boolean tableDown;
  private boolean callUnderWay;
  private boolean batchMaybeWritten;
  private List<Long> expired = List.of();

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
  void poll(boolean wanted, boolean leaseHeld) {
    this.wanted = wanted;
    long nowMs = context.nowMs();
    expireWaiting(nowMs);
    switch (phase) {
      case UNOWNED -> {
        if (!wanted) {
          backoffShift = 0;
        }
        if ((mayOwn || (wanted && leaseHeld)) && nowMs >= nextAttemptMs) {
          take();
        }
      }
      case OWNED -> {
        if (!wanted) {
          phase = Phase.DRAINING;
          drainingSinceMs = nowMs;
        }
        write();
      }
      case DRAINING -> drain(nowMs);
      case TAKING, RECOVERING, RELEASING -> {
        // The result of the call under way goes on from here.
      }
    }
  }

  private void expireWaiting(long nowMs) {
    while (!waiting.isEmpty() && waiting.peek().untilMs() <= nowMs) {
      ClaimCallers.refuse(waiting.poll().caller(), refusalCode());
    }
    callers.expireFollowers(nowMs);
  }

  private ErrorCode refusalCode() {
    return tableDown ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.LEASE_LOST;
  }

  // Taking the range.

  private void take() {
    phase = Phase.TAKING;
    context.onResult(
        context.table().readOwner(name),
        (found, failure) -> {
          if (failure != null) {
            onTakeFailed(failure);
          } else {
            onOwnerRead(found);
          }
        });
  }

  private void onOwnerRead(ClaimTable.Owner found) {
    tableDown = false;
    if (found.writer().equals(context.writer()) && !found.released()) {
      recover(found);
      return;
    }
    mayOwn = mayOwn && found.version() == takenVersion;
    if (mayOwn) {
      takeFrom(found);
    } else if (!wanted) {
      retryLater();
    } else if (found.released() || found.nodeId().equals(context.nodeId())) {
      takeFrom(found);
    } else {
      takeIfGone(found);
    }
  }

  private void takeIfGone(ClaimTable.Owner found) {
    long sentMs = context.nowMs();
    context.onResult(
        context.owners().read(found.nodeId()),
        (lease, failure) -> {
          if (failure != null) {
            onTakeFailed(failure);
          } else if (context.isGone(found, lease, sentMs)) {
            takeFrom(found);
          } else {
            retryLater();
          }
        });
  }

  private void takeFrom(ClaimTable.Owner found) {
    ClaimTable.Owner next =
        new ClaimTable.Owner(
            found.version(), context.nodeId(), context.writer(), found.epoch() + 1, false);
    boolean unsettledBefore = mayOwn;
    mayOwn = true;
    takenVersion = found.version();
    context.onResult(
        context.table().writeOwner(name, next),
        (result, failure) -> {
          switch (result) {
            case TransactionResult.Committed committed -> recover(withVersion(next, committed));
            case TransactionResult.Conflict conflict -> retryLater();
            case null -> onTakeUnanswered(unsettledBefore, failure);
          }
        });
  }

  private void onTakeUnanswered(boolean unsettledBefore, Throwable failure) {
    if (Failures.outcome(failure) == Outcome.NOT_RUN) {
      mayOwn = unsettledBefore;
      onTakeFailed(failure);
    } else {
      retryLater();
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
  private void onTakeFailed(Throwable failure) {
    tableDown = true;
    context.log("claim-range-not-taken", name, failure);
    retryLater();
  }

  /**
   * Tries again after twice the time of the try before, so that waiting for an owner costs little.
   */
  private void retryLater() {
    phase = Phase.UNOWNED;
    owner = null;
    ledger = null;
    nextAttemptMs = context.nowMs() + (context.times().retryMs() << backoffShift);
    backoffShift = Math.min(backoffShift + 1, MAX_BACKOFF_SHIFT);
    if (tableDown) {
      refuseAllWaiting();
    }
  }

  private void refuseAllWaiting() {
    waiting.forEach(each -> ClaimCallers.refuse(each.caller(), refusalCode()));
    waiting.clear();
  }

  private void recover(ClaimTable.Owner taken) {
    phase = Phase.RECOVERING;
    owner = taken;
    ledger = new ClaimLedger(context.limits(), taken.epoch(), context.writer());
    scan(-1);
  }

  private void scan(long after) {
    context.onResult(
        context.table().scanBatches(name, after, SCAN_LIMIT),
        (batches, failure) -> {
          if (failure != null) {
            onTakeFailed(failure);
          } else {
            onScanned(batches);
          }
        });
  }

  private void onScanned(List<ClaimBatch> batches) {
    try {
      batches.forEach(ledger::recover);
    } catch (IllegalArgumentException e) {
      onTakeFailed(e);
      return;
    }
    if (batches.size() == SCAN_LIMIT) {
      scan(batches.getLast().number());
    } else {
      onOwned();
    }
  }

  private void onOwned() {
    phase = Phase.OWNED;
    backoffShift = 0;
    tableDown = false;
    lastWriteMs = context.nowMs();
    context.log("claim-range-taken", name, null);
    while (!waiting.isEmpty()) {
      Waiting next = waiting.poll();
      decide(next.key(), next.fingerprint(), next.caller());
    }
    write();
  }

  // Deciding on claims.

  /** Decides on a claim, now or when the range was taken. */
  void claim(String key, String fingerprint, CompletableFuture<ClaimDecision> caller) {
    if (phase == Phase.OWNED) {
      decide(key, fingerprint, caller);
      write();
    } else if (phase == Phase.DRAINING || phase == Phase.RELEASING) {
      ClaimCallers.refuse(caller, ErrorCode.LEASE_LOST);
    } else if (tableDown) {
      ClaimCallers.refuse(caller, ErrorCode.PLATFORM_UNAVAILABLE);
    } else if (waiting.size() >= MAX_WAITING) {
      ClaimCallers.refuse(caller, ErrorCode.OVERLOADED);
    } else {
      waiting.add(
          new Waiting(key, fingerprint, context.nowMs() + context.times().waitMs(), caller));
    }
  }

  private void decide(String key, String fingerprint, CompletableFuture<ClaimDecision> caller) {
    switch (ledger.claim(key, fingerprint, context.epochMs())) {
      case ClaimLedger.Decision.Queued queued -> {
        callers.add(key, caller);
        if (isTableDown()) {
          refuseCallers(ErrorCode.PLATFORM_UNAVAILABLE);
        }
      }
      case ClaimLedger.Decision.Run run -> caller.complete(new ClaimDecision.Run());
      case ClaimLedger.Decision.Answered answered ->
          caller.complete(new ClaimDecision.Answered(answered.answer()));
      case ClaimLedger.Decision.AnswerInBatch stored ->
          readAnswer(key, stored.batchNumber(), caller);
      case ClaimLedger.Decision.InProgress inProgress ->
          callers.follow(key, context.nowMs() + context.times().waitMs(), caller);
      case ClaimLedger.Decision.Unsettled unsettled ->
          caller.complete(new ClaimDecision.Unsettled());
      case ClaimLedger.Decision.KeyReused reused -> caller.complete(new ClaimDecision.KeyReused());
      case ClaimLedger.Decision.Full full -> ClaimCallers.refuse(caller, ErrorCode.OVERLOADED);
    }
  }

  private void readAnswer(String key, long number, CompletableFuture<ClaimDecision> caller) {
    context.onResult(
        context.table().readBatch(name, number),
        (batch, failure) -> {
          if (failure != null) {
            ClaimCallers.refuse(caller, ErrorCode.PLATFORM_UNAVAILABLE);
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
    callers.refuse(ledger.refuseWaiting(), code);
  }

  /** Returns whether the table service failed and it isn't time to try it again. */
  private boolean isTableDown() {
    return tableDown && context.nowMs() < nextAttemptMs;
  }

  // Recording outcomes.

  void settle(String key, RecordedAnswer answer, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.settle(key, answer, context.epochMs())) {
      ClaimCallers.failRecording(recorded);
      return;
    }
    callers.record(key, recorded);
    callers.answerFollowers(key, new ClaimDecision.Answered(answer));
    write();
  }

  void release(String key, CompletableFuture<Void> recorded) {
    if (ledger == null || !ledger.release(key, context.epochMs())) {
      ClaimCallers.failRecording(recorded);
      return;
    }
    callers.record(key, recorded);
    callers.answerFollowers(key, new ClaimDecision.Refused(ErrorCode.OVERLOADED));
    write();
  }

  void leaveUnsettled(String key) {
    if (ledger != null && ledger.leaveUnsettled(key, context.epochMs())) {
      callers.answerFollowers(key, new ClaimDecision.Unsettled());
    }
  }

  // Writing batches.

  private void write() {
    long nowMs = context.nowMs();
    if (callUnderWay || nowMs < nextAttemptMs || !isWriting()) {
      return;
    }
    if (ledger.underWay().isPresent()) {
      readBack(ledger.underWay().get(), false);
    } else if (ledger.hasPendingClaims()
        || (ledger.hasPending() && nowMs - lastWriteMs >= context.times().settleLingerMs())) {
      expired = ledger.takeExpiredBatches(context.epochMs(), MAX_DELETED_AT_ONCE);
      batchMaybeWritten = false;
      append(ledger.nextBatch().orElseThrow());
    }
  }

  private boolean isWriting() {
    return phase == Phase.OWNED || phase == Phase.DRAINING;
  }

  private void append(ClaimBatch batch) {
    lastWriteMs = context.nowMs();
    onLedgerResult(
        context.table().append(name, owner.version(), batch, expired),
        (result, failure) -> {
          switch (result) {
            case TransactionResult.Committed committed -> {
              onCommitted();
              write();
            }
            case TransactionResult.Conflict conflict -> readBack(batch, isFenced(conflict));
            case null -> onAppendFailed(batch, failure);
          }
        });
  }

  /** Takes a result unless the range was lost meanwhile, and all that waited was told so. */
  private <T> void onLedgerResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    ClaimLedger current = ledger;
    callUnderWay = true;
    context.onResult(
        stage,
        (value, failure) -> {
          if (ledger == current) {
            callUnderWay = false;
            action.accept(value, failure);
          }
        });
  }

  private static boolean isFenced(TransactionResult.Conflict conflict) {
    return conflict.rows().stream().anyMatch(row -> row.table().equals(ClaimTable.RANGES));
  }

  private void onAppendFailed(ClaimBatch batch, Throwable failure) {
    if (Failures.outcome(failure) != Outcome.NOT_RUN) {
      batchMaybeWritten = true;
      readBack(batch, false);
      return;
    }
    onTableDown(failure);
    if (!batchMaybeWritten) {
      ledger.onNotWritten();
    }
  }

  private void onTableDown(Throwable failure) {
    tableDown = true;
    nextAttemptMs = context.nowMs() + context.times().retryMs();
    context.log("claim-batch-not-written", name, failure);
    refuseCallers(ErrorCode.PLATFORM_UNAVAILABLE);
  }

  private void readBack(ClaimBatch batch, boolean fenced) {
    onLedgerResult(
        context.table().readBatch(name, batch.number()),
        (found, failure) -> {
          if (failure != null) {
            onTableDown(failure);
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
        lose();
      } else {
        write();
      }
    } else if (found.isPresent() || fenced) {
      mayOwn = !fenced;
      ledger.onNotWritten();
      lose();
    } else {
      append(batch);
    }
  }

  private void onCommitted() {
    tableDown = false;
    for (ClaimLedger.Event event : ledger.onCommitted()) {
      switch (event) {
        case ClaimLedger.Event.Run run -> callers.run(run.key());
        case ClaimLedger.Event.Recorded recorded -> callers.onRecorded(recorded.key());
      }
    }
  }

  /** Nothing more can be written: the range was taken or given back, or must be read anew. */
  private void lose() {
    context.log("claim-range-lost", name, null);
    refuseCallers(ErrorCode.LEASE_LOST);
    callers.onLost();
    callUnderWay = false;
    retryLater();
  }

  // Giving the range back.

  private void drain(long nowMs) {
    if (wanted) {
      phase = Phase.OWNED;
      return;
    }
    write();
    boolean timedOut = nowMs - drainingSinceMs >= context.times().drainTimeoutMs();
    if (phase == Phase.DRAINING && !callUnderWay && (ledger.isQuiet() || timedOut)) {
      giveBack();
    }
  }

  private void giveBack() {
    phase = Phase.RELEASING;
    ClaimTable.Owner released =
        new ClaimTable.Owner(owner.version(), owner.nodeId(), owner.writer(), owner.epoch(), true);
    context.onResult(
        context.table().writeOwner(name, released),
        (result, failure) -> {
          if (failure != null) {
            phase = Phase.DRAINING;
            nextAttemptMs = context.nowMs() + context.times().retryMs();
          } else {
            mayOwn = false;
            lose();
          }
        });
  }
}
