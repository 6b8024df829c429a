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
 * The state of the idempotency keys of one key range, kept by the owner of the range.
 *
 * <p>A call with an idempotency key may be executed only after an entry that claims the key has
 * been written to the table service. Entries that arrive while a batch is being written are
 * collected and written together in the next batch (group commit); one batch is written at a time.
 * Before a new owner accepts a claim, it passes the batches of all previous owners to {@link
 * #recover} in order.
 *
 * <p>The class does no I/O. The owner takes a batch with {@link #nextBatch}, writes it, and calls
 * {@link #onCommitted} or {@link #onNotWritten}. While the outcome of a write is unknown, the batch
 * remains the one being written: the owner reads it back or writes the same batch again until the
 * outcome is known.
 *
 * <pre>
 *            claim          nextBatch        onCommitted          record response
 *   (none) --------> QUEUED ---------> WRITING ----------> RUNNING --------------> ANSWERED
 *                      |                  | caller refused  ^  | release
 *                      | refuse           +-----> RUNNABLE -+  +--> (none), Released entry
 *                      v                            claim
 *                    (none)
 * </pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>{@link Decision.Run}, or {@link Event.Run} after {@link Decision.Queued}, is issued for a
 *       key only if an entry that claims it is in the table, the claim was made by this ledger when
 *       the key was free, and no caller has been told to execute the call since.
 *   <li>A key that was claimed under a previous owner and has no recorded response is unsettled:
 *       its call is never executed again while the key is kept.
 *   <li>When a caller is refused while its entry is being written, the call is not executed on
 *       behalf of that caller. If the entry is committed after all, the key is runnable: the next
 *       claim with the same request executes the call.
 * </ul>
 *
 * <p>Example: keys a and b are claimed while batch 4 is being written, so batch 5 contains both
 * entries. The response to that write is lost, but the batch is found when it is read back: both
 * calls are executed. The owner crashes after it has recorded the response of a in batch 6. The
 * next owner reads batches 0 to 6: the response of a is replayed and b is unsettled.
 */
public final class ClaimLedger {
  /** The result of a claim. */
  public sealed interface Decision {
    /** The entry is queued or being written; an {@link Event} or a refusal follows. */
    record Queued() implements Decision {}

    /** The claim is already committed and the call has not been executed: execute it now. */
    record Run() implements Decision {}

    /**
     * The call has a recorded response.
     *
     * @param response the response
     */
    record Answered(RecordedResponse response) implements Decision {}

    /**
     * The call has a recorded response, which is no longer in memory.
     *
     * @param batchNumber the batch that contains the response
     */
    record ResponseInBatch(long batchNumber) implements Decision {}

    /** The call is being claimed or executed for another caller of this owner. */
    record InProgress() implements Decision {}

    /** The key was claimed, and the outcome of the call is unknown. */
    record Unsettled() implements Decision {}

    /** The key was already used with another request. */
    record KeyReused() implements Decision {}

    /** The ledger holds its maximum number of keys. */
    record Full() implements Decision {}
  }

  /** An effect of a committed batch. */
  public sealed interface Event {
    /** Returns the key. */
    String key();

    /**
     * The claim is committed: the call may be executed now.
     *
     * @param key the key
     */
    record Run(String key) implements Event {}

    /**
     * The response, or the release of the key, is committed.
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

  /** The state of one key. */
  private static final class Claim {
    final String fingerprint;
    State state;

    /** Whether the caller was refused while the entry was being written. */
    boolean abandoned;

    long atMs;
    RecordedResponse response;
    long responseBatch = NO_BATCH;

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
  private final Deque<String> cachedResponses = new ArrayDeque<>();
  private final Deque<CommittedBatch> committedBatches = new ArrayDeque<>();
  private ClaimBatch batchBeingWritten;
  private long nextNumber;
  private long responseBytes;
  private int runningCalls;
  private int pendingClaims;

  /**
   * Creates an empty ledger.
   *
   * @param limits the limits of the ledger
   * @param epoch the epoch of the owner
   * @param writer the id of the process of the owner
   */
  public ClaimLedger(ClaimLimits limits, long epoch, String writer) {
    this.limits = limits;
    this.epoch = epoch;
    this.writer = writer;
  }

  /**
   * Applies a batch of a previous owner. Batches are passed in the order of their numbers.
   *
   * @param batch the batch
   * @throws IllegalArgumentException if the number does not follow the previous batch
   */
  public void recover(ClaimBatch batch) {
    if (!committedBatches.isEmpty() && batch.number() != nextNumber) {
      throw new IllegalArgumentException("claim batch " + nextNumber + " is missing");
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
        claim.responseBatch = batchNumber;
        cacheResponse(answered.key(), claim, answered.response());
      }
      case ClaimEntry.Released released -> claims.remove(released.key());
    }
  }

  /**
   * Claims a key.
   *
   * @param key the idempotency key
   * @param fingerprint the fingerprint of the request, which detects reuse of the key with another
   *     request
   * @param nowMs the time in milliseconds since the Unix epoch
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
    return claim.response != null
        ? new Decision.Answered(claim.response)
        : new Decision.ResponseInBatch(claim.responseBatch);
  }

  /**
   * Records the response of a running call.
   *
   * @param key the key
   * @param response the response
   * @param nowMs the time in milliseconds since the Unix epoch
   * @return false if the key has no running call in this ledger
   */
  public boolean recordResponse(String key, RecordedResponse response, long nowMs) {
    Claim claim = claims.get(key);
    if (claim == null || claim.state != State.RUNNING) {
      return false;
    }
    runningCalls--;
    claim.state = State.ANSWERED;
    claim.atMs = nowMs;
    expiries.add(new Expiry(key, nowMs));
    cacheResponse(key, claim, response);
    pending.add(new ClaimEntry.Answered(key, claim.fingerprint, nowMs, response));
    return true;
  }

  /**
   * Records that a running call is known not to have been executed, which frees its key.
   *
   * @param key the key
   * @param nowMs the time in milliseconds since the Unix epoch
   * @return false if the key has no running call in this ledger
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
   * Records that the outcome of a running call will remain unknown.
   *
   * @param key the key
   * @param nowMs the time in milliseconds since the Unix epoch
   * @return false if the key has no running call in this ledger
   */
  public boolean markUnsettled(String key, long nowMs) {
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

  /** Returns whether claims are waiting to be written. */
  public boolean hasPendingClaims() {
    return pendingClaims > 0;
  }

  /** Returns whether entries of any kind are waiting to be written. */
  public boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns whether no entry is waiting or being written and no call is running. */
  public boolean isIdle() {
    return pending.isEmpty() && batchBeingWritten == null && runningCalls == 0;
  }

  /** Returns the number of keys in the ledger. */
  public int keyCount() {
    return claims.size();
  }

  /** Returns the size of the response bodies in memory. */
  public long responseBytes() {
    return responseBytes;
  }

  /** Returns the batch that is being written, if any. */
  public Optional<ClaimBatch> batchBeingWritten() {
    return Optional.ofNullable(batchBeingWritten);
  }

  /**
   * Starts the next batch.
   *
   * @return the batch to write; empty if one is being written or no entry is waiting
   */
  public Optional<ClaimBatch> nextBatch() {
    if (batchBeingWritten != null || pending.isEmpty()) {
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
    batchBeingWritten = new ClaimBatch(nextNumber, epoch, writer, entries);
    return Optional.of(batchBeingWritten);
  }

  private static int bodyBytes(ClaimEntry entry) {
    return entry instanceof ClaimEntry.Answered answered ? answered.response().body().length : 0;
  }

  /**
   * Records that the batch being written was committed.
   *
   * @return the calls that may be executed now, and the keys whose response or release is committed
   */
  public List<Event> onCommitted() {
    List<Event> events = new ArrayList<>();
    for (ClaimEntry entry : batchBeingWritten.entries()) {
      switch (entry) {
        case ClaimEntry.Claimed claimed -> onClaimCommitted(claimed, events);
        case ClaimEntry.Answered answered -> {
          claims.get(answered.key()).responseBatch = batchBeingWritten.number();
          events.add(new Event.Recorded(answered.key()));
        }
        case ClaimEntry.Released released -> events.add(new Event.Recorded(released.key()));
      }
    }
    committedBatches.add(
        new CommittedBatch(batchBeingWritten.number(), batchBeingWritten.newestAtMs()));
    nextNumber++;
    batchBeingWritten = null;
    evictCommittedResponses();
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
   * Records that the batch being written was not written and never will be. Its entries are queued
   * again, except for the claims whose callers have been refused.
   */
  public void onNotWritten() {
    List<ClaimEntry> entries = batchBeingWritten.entries();
    batchBeingWritten = null;
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
   * Refuses all claims that are waiting or being written. Their calls will not be executed on
   * behalf of their present callers.
   *
   * @return the keys whose callers must be told that the call was not executed
   */
  public List<String> refuseUncommitted() {
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
    if (batchBeingWritten != null) {
      abandonBeingWritten(refused);
    }
    return refused;
  }

  private void abandonBeingWritten(List<String> refused) {
    for (ClaimEntry entry : batchBeingWritten.entries()) {
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
   * Returns the batches in which every entry is past its retention, oldest first, and removes them
   * from the ledger. The caller deletes them along with the next write. The newest batch is always
   * kept, since it carries the last number.
   *
   * @param nowMs the time in milliseconds since the Unix epoch
   * @param max the largest number of batches to return
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
      evictResponse(claim);
    } else {
      claim.atMs = nowMs;
      expiries.add(new Expiry(key, nowMs));
    }
  }

  private static boolean canExpire(Claim claim) {
    return claim.state == State.UNSETTLED
        || claim.state == State.RUNNABLE
        || (claim.state == State.ANSWERED && claim.responseBatch != NO_BATCH);
  }

  private void cacheResponse(String key, Claim claim, RecordedResponse response) {
    claim.response = response;
    responseBytes += response.body().length;
    cachedResponses.add(key);
    evictCommittedResponses();
  }

  /** Evicts the oldest committed responses until the remaining ones fit into the limit. */
  private void evictCommittedResponses() {
    while (responseBytes > limits.maxResponseBytes() && !cachedResponses.isEmpty()) {
      Claim claim = claims.get(cachedResponses.peek());
      if (claim != null && claim.response != null && claim.responseBatch == NO_BATCH) {
        return;
      }
      cachedResponses.poll();
      if (claim != null) {
        evictResponse(claim);
      }
    }
  }

  private void evictResponse(Claim claim) {
    if (claim.response != null) {
      responseBytes -= claim.response.body().length;
      claim.response = null;
    }
  }
}
