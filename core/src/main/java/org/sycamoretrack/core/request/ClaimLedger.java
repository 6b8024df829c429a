package org.sycamoretrack.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims on the keys of one key range, as its owner sees them.
 *
 * <p>A keyed call may run only after a line that claims its key was written to the table service.
 * Lines are collected while a batch is being written and go out together in the next one (group
 * commit); one batch is under way at a time. A new owner feeds the batches of all owners before it
 * to {@link #recover}, in order, before it accepts a claim.
 *
 * <p>The class does no I/O. The owner takes a batch with {@link #nextBatch}, writes it, and reports
 * {@link #onCommitted} or {@link #onNotWritten}. While the answer to a write is lost the batch
 * stays under way: the owner reads it back, or writes the same batch again, until one of both is
 * known.
 *
 * <pre>
 *            claim          nextBatch        onCommitted       settle
 *   (none) --------> QUEUED ---------> WRITING --------> RUNNING ------> ANSWERED
 *                      |                  |  caller gone    | release
 *                      | refuse           +---------> IDLE  +------> (none), a line "released"
 *                      v                               | claim
 *                    (none)                            +------> RUNNING
 * </pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>{@link Decision.Run}, or {@link Event.Run} after {@link Decision.Queued}, is given for a
 *       key only when a line that claims it is in the table, this ledger was the first to know the
 *       key free, and nobody was told to run it since.
 *   <li>A key that was claimed by an owner before and has no recorded answer is unsettled: it is
 *       never run again while it is remembered.
 *   <li>When a caller is refused while its line is being written, nobody runs the key for it. If
 *       the line turns out to be written the key is idle: the next claim by the same request runs.
 * </ul>
 *
 * <p>Example: keys a and b are claimed while batch 4 is being written; batch 5 holds both lines.
 * Its answer is lost and it is found when read back: both calls run. The owner dies after it
 * recorded a's answer in batch 6. The next owner reads batches 0 to 6: a is answered again, b is
 * unsettled.
 */
public final class ClaimLedger {
  /** What becomes of a claim. */
  public sealed interface Decision {
    /** The line waits to be written; an {@link Event} or a refusal follows. */
    record Queued() implements Decision {}

    /** The line is in the table already and the call has not run: run it. */
    record Run() implements Decision {}

    /**
     * The call was answered.
     *
     * @param answer the answer
     */
    record Answered(RecordedAnswer answer) implements Decision {}

    /**
     * The call was answered, and the answer is no longer in memory.
     *
     * @param batchNumber the batch that holds it
     */
    record AnswerInBatch(long batchNumber) implements Decision {}

    /** The call is being claimed or runs, for a caller of this owner. */
    record InProgress() implements Decision {}

    /** The key was claimed and its outcome is not known. */
    record Unsettled() implements Decision {}

    /** The key was used with another request. */
    record KeyReused() implements Decision {}

    /** The ledger is full. */
    record Full() implements Decision {}
  }

  /** What a committed batch brought about. */
  public sealed interface Event {
    /** Returns the key. */
    String key();

    /**
     * The claim is in the table: the call may run now.
     *
     * @param key the key
     */
    record Run(String key) implements Event {}

    /**
     * The answer, or that the call did not run, is in the table.
     *
     * @param key the key
     */
    record Recorded(String key) implements Event {}
  }

  private enum State {
    QUEUED,
    WRITING,
    RUNNING,
    RUNNABLE,
    ANSWERED,
    UNSETTLED
  }

  /** What is known of a key. */
  private static final class Claim {
    final String fingerprint;
    State state;
    boolean abandoned;
    long atMs;
    RecordedAnswer answer;
    long answerBatch = NO_BATCH;

    Claim(String fingerprint, State state, long atMs) {
      this.fingerprint = fingerprint;
      this.state = state;
      this.atMs = atMs;
    }
  }

  private record Expiry(String key, long atMs) {}

  private record CommittedBatch(long number, long newestAtMs) {}

  private static final long NO_BATCH = -1;
  private static final Decision QUEUED = new Decision.Queued();
  private static final Decision RUN = new Decision.Run();
  private static final Decision IN_PROGRESS = new Decision.InProgress();
  private static final Decision UNSETTLED = new Decision.Unsettled();
  private static final Decision KEY_REUSED = new Decision.KeyReused();
  private static final Decision FULL = new Decision.Full();

  private final ClaimLimits limits;
  private final long epoch;
  private final String writer;
  private final Map<String, Claim> claims = new HashMap<>();
  private final Deque<ClaimEntry> pending = new ArrayDeque<>();
  private final Deque<Expiry> expiries = new ArrayDeque<>();
  private final Deque<String> cachedAnswers = new ArrayDeque<>();
  private final Deque<CommittedBatch> committedBatches = new ArrayDeque<>();
  private ClaimBatch underWay;
  private long nextNumber;
  private long answerBytes;
  private int runningCalls;
  private int pendingClaims;

  /**
   * Creates an empty ledger.
   *
   * @param limits its bounds
   * @param epoch the epoch of the owner
   * @param writer names the owner's process
   */
  public ClaimLedger(ClaimLimits limits, long epoch, String writer) {
    this.limits = limits;
    this.epoch = epoch;
    this.writer = writer;
  }

  /**
   * Takes in a batch of an owner before. Batches come in order of their numbers.
   *
   * @param batch the batch
   * @throws IllegalArgumentException when a batch between it and the one before is missing
   */
  public void recover(ClaimBatch batch) {
    if (!committedBatches.isEmpty() && batch.number() != nextNumber) {
      throw new IllegalArgumentException("batch " + nextNumber + " is missing");
    }
    for (ClaimEntry entry : batch.entries()) {
      recover(entry, batch.number());
    }
    nextNumber = batch.number() + 1;
    committedBatches.add(new CommittedBatch(batch.number(), batch.newestAtMs()));
  }

  private void recover(ClaimEntry entry, long batchNumber) {
    switch (entry) {
      case ClaimEntry.Claimed claimed -> {
        Claim claim = new Claim(claimed.fingerprint(), State.UNSETTLED, claimed.atMs());
        claims.put(claimed.key(), claim);
        expiries.add(new Expiry(claimed.key(), claimed.atMs()));
      }
      case ClaimEntry.Answered answered -> {
        Claim claim = new Claim(answered.fingerprint(), State.ANSWERED, answered.atMs());
        claims.put(answered.key(), claim);
        expiries.add(new Expiry(answered.key(), answered.atMs()));
        claim.answerBatch = batchNumber;
        cacheAnswer(answered.key(), claim, answered.answer());
      }
      case ClaimEntry.Released released -> claims.remove(released.key());
    }
  }

  /**
   * Decides on a claim.
   *
   * @param key the idempotency key
   * @param fingerprint tells the request from others with the same key
   * @param nowMs the time in milliseconds since the epoch
   */
  public Decision claim(String key, String fingerprint, long nowMs) {
    Claim claim = claims.get(key);
    if (claim == null) {
      return claimNew(key, fingerprint, nowMs);
    }
    if (!claim.fingerprint.equals(fingerprint)) {
      return KEY_REUSED;
    }
    return switch (claim.state) {
      case QUEUED, RUNNING -> IN_PROGRESS;
      case UNSETTLED -> UNSETTLED;
      case WRITING -> reattach(claim);
      case RUNNABLE -> markRunning(claim);
      case ANSWERED -> replayDecision(claim);
    };
  }

  private Decision claimNew(String key, String fingerprint, long nowMs) {
    expire(nowMs);
    if (claims.size() >= limits.maxKeys()) {
      return FULL;
    }
    claims.put(key, new Claim(fingerprint, State.QUEUED, nowMs));
    pending.add(new ClaimEntry.Claimed(key, fingerprint, nowMs));
    pendingClaims++;
    return QUEUED;
  }

  private static Decision reattach(Claim claim) {
    if (!claim.abandoned) {
      return IN_PROGRESS;
    }
    claim.abandoned = false;
    return QUEUED;
  }

  private Decision markRunning(Claim claim) {
    claim.state = State.RUNNING;
    runningCalls++;
    return RUN;
  }

  private static Decision replayDecision(Claim claim) {
    return claim.answer != null
        ? new Decision.Answered(claim.answer)
        : new Decision.AnswerInBatch(claim.answerBatch);
  }

  /**
   * Records the answer of a call that this ledger let run.
   *
   * @param key the key
   * @param answer the answer
   * @param nowMs the time in milliseconds since the epoch
   * @return false when no such call is running here
   */
  public boolean settle(String key, RecordedAnswer answer, long nowMs) {
    Claim claim = claims.get(key);
    if (claim == null || claim.state != State.RUNNING) {
      return false;
    }
    runningCalls--;
    claim.state = State.ANSWERED;
    claim.atMs = nowMs;
    expiries.add(new Expiry(key, nowMs));
    cacheAnswer(key, claim, answer);
    pending.add(new ClaimEntry.Answered(key, claim.fingerprint, nowMs, answer));
    return true;
  }

  /**
   * Records that a call that this ledger let run is known not to have run, so that its key is free.
   *
   * @param key the key
   * @param nowMs the time in milliseconds since the epoch
   * @return false when no such call is running here
   */
  public boolean release(String key, long nowMs) {
    Claim claim = claims.get(key);
    if (claim == null || claim.state != State.RUNNING) {
      return false;
    }
    runningCalls--;
    claims.remove(key);
    pending.add(new ClaimEntry.Released(key, nowMs));
    return true;
  }

  /**
   * Notes that the outcome of a call that this ledger let run will not be known.
   *
   * @param key the key
   * @param nowMs the time in milliseconds since the epoch
   * @return false when no such call is running here
   */
  public boolean leaveUnsettled(String key, long nowMs) {
    Claim claim = claims.get(key);
    if (claim == null || claim.state != State.RUNNING) {
      return false;
    }
    runningCalls--;
    claim.state = State.UNSETTLED;
    claim.atMs = nowMs;
    expiries.add(new Expiry(key, nowMs));
    return true;
  }

  /** Returns whether claims wait to be written. */
  public boolean hasPendingClaims() {
    return pendingClaims > 0;
  }

  /** Returns whether lines of any kind wait to be written. */
  public boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns whether nothing waits, is being written or runs. */
  public boolean isQuiet() {
    return pending.isEmpty() && underWay == null && runningCalls == 0;
  }

  /** Returns the number of keys that are remembered. */
  public int keyCount() {
    return claims.size();
  }

  /** Returns the number of bytes of answers in memory. */
  public long answerBytes() {
    return answerBytes;
  }

  /** Returns the batch that is being written, empty when there is none. */
  public Optional<ClaimBatch> underWay() {
    return Optional.ofNullable(underWay);
  }

  /** Returns the next batch to write, empty when one is under way or nothing waits. */
  public Optional<ClaimBatch> nextBatch() {
    if (underWay != null || pending.isEmpty()) {
      return Optional.empty();
    }
    List<ClaimEntry> entries = new ArrayList<>();
    int bytes = 0;
    while (!pending.isEmpty() && entries.size() < limits.maxBatchEntries()) {
      bytes += bodyBytes(pending.peek());
      if (!entries.isEmpty() && bytes > limits.maxBatchBytes()) {
        break;
      }
      entries.add(pending.poll());
    }
    for (ClaimEntry entry : entries) {
      if (entry instanceof ClaimEntry.Claimed claimed) {
        claims.get(claimed.key()).state = State.WRITING;
        pendingClaims--;
      }
    }
    underWay = new ClaimBatch(nextNumber, epoch, writer, entries);
    return Optional.of(underWay);
  }

  private static int bodyBytes(ClaimEntry entry) {
    return entry instanceof ClaimEntry.Answered answered ? answered.answer().body().length : 0;
  }

  /**
   * Notes that the batch under way is in the table.
   *
   * @return the calls that may run now, and the answers that are recorded
   */
  public List<Event> onCommitted() {
    List<Event> events = new ArrayList<>();
    for (ClaimEntry entry : underWay.entries()) {
      switch (entry) {
        case ClaimEntry.Claimed claimed -> onClaimCommitted(claimed, events);
        case ClaimEntry.Answered answered -> {
          claims.get(answered.key()).answerBatch = underWay.number();
          events.add(new Event.Recorded(answered.key()));
        }
        case ClaimEntry.Released released -> events.add(new Event.Recorded(released.key()));
      }
    }
    committedBatches.add(new CommittedBatch(underWay.number(), underWay.newestAtMs()));
    nextNumber++;
    underWay = null;
    evictCommittedAnswers();
    return events;
  }

  private void onClaimCommitted(ClaimEntry.Claimed claimed, List<Event> events) {
    Claim claim = claims.get(claimed.key());
    expiries.add(new Expiry(claimed.key(), claimed.atMs()));
    if (claim.abandoned) {
      claim.abandoned = false;
      claim.state = State.RUNNABLE;
    } else {
      markRunning(claim);
      events.add(new Event.Run(claimed.key()));
    }
  }

  /**
   * Notes that the batch under way was not written and never will be: its lines wait again, but for
   * the claims that nobody waits for any more.
   */
  public void onNotWritten() {
    List<ClaimEntry> entries = underWay.entries();
    underWay = null;
    for (int i = entries.size() - 1; i >= 0; i--) {
      ClaimEntry entry = entries.get(i);
      if (entry instanceof ClaimEntry.Claimed claimed) {
        Claim claim = claims.get(claimed.key());
        if (claim.abandoned) {
          claims.remove(claimed.key());
          continue;
        }
        claim.state = State.QUEUED;
        pendingClaims++;
      }
      pending.addFirst(entry);
    }
  }

  /**
   * Gives up the claims that wait or are being written: nobody runs them for their present callers.
   *
   * @return the keys whose callers are to be refused as not run
   */
  public List<String> refuseWaiting() {
    List<String> refused = new ArrayList<>();
    Iterator<ClaimEntry> entries = pending.iterator();
    while (entries.hasNext()) {
      if (entries.next() instanceof ClaimEntry.Claimed claimed) {
        entries.remove();
        claims.remove(claimed.key());
        refused.add(claimed.key());
      }
    }
    pendingClaims = 0;
    if (underWay != null) {
      abandonBeingWritten(refused);
    }
    return refused;
  }

  private void abandonBeingWritten(List<String> refused) {
    for (ClaimEntry entry : underWay.entries()) {
      if (entry instanceof ClaimEntry.Claimed claimed) {
        Claim claim = claims.get(claimed.key());
        if (!claim.abandoned) {
          claim.abandoned = true;
          refused.add(claimed.key());
        }
      }
    }
  }

  /**
   * Returns the batches whose lines are all past their retention, oldest first, and forgets them;
   * they are to be deleted along with the next write.
   *
   * @param nowMs the time in milliseconds since the epoch
   * @param max the most batches
   */
  public List<Long> takeExpiredBatches(long nowMs, int max) {
    expire(nowMs);
    List<Long> expired = new ArrayList<>();
    while (expired.size() < max
        && committedBatches.size() > 1
        && committedBatches.peek().newestAtMs() + limits.retentionMs() <= nowMs) {
      expired.add(committedBatches.poll().number());
    }
    return expired;
  }

  private void expire(long nowMs) {
    Expiry oldest;
    while ((oldest = expiries.peek()) != null && oldest.atMs() + limits.retentionMs() <= nowMs) {
      expiries.poll();
      Claim claim = claims.get(oldest.key());
      if (claim != null && claim.atMs == oldest.atMs()) {
        expire(oldest.key(), claim, nowMs);
      }
    }
  }

  private void expire(String key, Claim claim, long nowMs) {
    if (canExpire(claim)) {
      claims.remove(key);
      evictAnswer(claim);
    } else {
      claim.atMs = nowMs;
      expiries.add(new Expiry(key, nowMs));
    }
  }

  private static boolean canExpire(Claim claim) {
    return claim.state == State.UNSETTLED
        || claim.state == State.RUNNABLE
        || (claim.state == State.ANSWERED && claim.answerBatch != NO_BATCH);
  }

  private void cacheAnswer(String key, Claim claim, RecordedAnswer answer) {
    claim.answer = answer;
    answerBytes += answer.body().length;
    cachedAnswers.add(key);
    evictCommittedAnswers();
  }

  /** Drops the oldest answers that are in the table until the rest fits. */
  private void evictCommittedAnswers() {
    while (answerBytes > limits.maxAnswerBytes() && !cachedAnswers.isEmpty()) {
      Claim claim = claims.get(cachedAnswers.peek());
      if (claim != null && claim.answer != null && claim.answerBatch == NO_BATCH) {
        return;
      }
      cachedAnswers.poll();
      if (claim != null) {
        evictAnswer(claim);
      }
    }
  }

  private void evictAnswer(Claim claim) {
    if (claim.answer != null) {
      answerBytes -= claim.answer.body().length;
      claim.answer = null;
    }
  }
}
