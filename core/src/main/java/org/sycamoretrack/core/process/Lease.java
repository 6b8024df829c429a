package org.sycamoretrack.core.process;

import java.util.Objects;

/**
 * The state machine of a node's lease on its node id: acquisition, renewal, loss and release.
 *
 * <p>The lease is a row in the table service. Each write is conditional on the row's version and
 * contains the writer's incarnation, which identifies its process, the epoch and a sequence number.
 * The class does no I/O: {@link #next} returns the next operation, and its result is passed to the
 * {@code on...} methods. At most one operation is pending at a time.
 *
 * <p>The holder measures the validity of its lease with its monotonic clock from <em>before</em> a
 * write was sent, while other processes measure from when they observed the change of the row,
 * which is later. The holder therefore stops using the lease before another process takes over,
 * regardless of how long the response took:
 *
 * <pre>
 * holder    sent|---- ttl ----------------|            holds() ends one pause margin before this
 * table         .  written
 * observer      .     seen|---- ttl + pause margin ----|  may take over
 * </pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>{@link #holds} is false from {@code sent + ttl - pauseMargin} of the last write that is
 *       known to have taken effect.
 *   <li>The outcome of a write is unknown if its response was lost or if it met a conflict. The row
 *       is then read back: if it contains this incarnation the lease is still held, and its
 *       validity follows from the write found there; if it contains another one, the lease is lost.
 *   <li>The epoch increases each time a process acquires the lease, and does not change on renewal.
 * </ul>
 *
 * <p>A process that finds the lease of another process, including a previous process with the same
 * node id, takes over when the row has not changed for {@link LeaseTimings#takeOverAfterMs}, or
 * immediately if it was released. After a failed read it also waits for {@link
 * LeaseTimings#renewalGraceMs}, so that a live holder that could not reach the store either can
 * renew first.
 *
 * <p>Example with a TTL of 10 s and a pause margin of 2 s: a renewal is sent at 5 s and its
 * response is lost. At 6 s the row is read back with that renewal's sequence number: the lease
 * holds until 13 s. If the row is unchanged, the lease holds until 8 s after the previous write and
 * is renewed immediately.
 */
public final class Lease {
  /**
   * The content of the lease row.
   *
   * @param version the row's version, 0 if the row does not exist
   * @param epoch how many times the lease was acquired
   * @param incarnation the incarnation that wrote it, empty if the row does not exist
   * @param sequence the sequence number of the write within its incarnation
   * @param released whether the holder released the lease
   */
  public record Row(long version, long epoch, String incarnation, long sequence, boolean released) {
    /** Represents a missing row. */
    public static final Row NONE = new Row(0, 0, "", 0, true);
  }

  /** The next operation. */
  public sealed interface Command {
    /** Do nothing until the next call. */
    record Wait() implements Command {}

    /** Read the row and call {@link #onRead} or {@link #onReadFailed}. */
    record Read() implements Command {}

    /**
     * Write the row and call {@link #onWritten}, {@link #onRefused} or {@link #onOutcomeUnknown}.
     *
     * @param row the new content; its version is the one that the stored row must have, 0 if it
     *     must not exist
     */
    record Write(Row row) implements Command {}
  }

  private static final Command WAIT = new Command.Wait();
  private static final Command READ = new Command.Read();

  private final LeaseTimings timings;
  private final String incarnation;

  private Row row;
  private LeaseWatch watch;
  private Row sent;
  private long sentAtMs;
  private long readSentMs;
  private long nextAttemptMs = Long.MIN_VALUE;
  private boolean operationPending;
  private boolean releasing;
  private long sequence;
  private long epoch;
  private boolean held;
  private long usableUntilMs;

  /**
   * Creates a lease that is not held.
   *
   * @param timings the durations of the lease
   * @param incarnation an identifier of this process that no other process has, past or future
   */
  public Lease(LeaseTimings timings, String incarnation) {
    this.timings = timings;
    this.incarnation = Objects.requireNonNull(incarnation);
  }

  /** Returns whether an operation that needs the lease may be performed at the given time. */
  public boolean holds(long nowMs) {
    return held && nowMs < usableUntilMs;
  }

  /** Returns the epoch of the lease, 0 if it is not held. */
  public long epoch() {
    return held ? epoch : 0;
  }

  /** Returns the time from which {@link #holds} is false; only meaningful while it is true. */
  public long usableUntilMs() {
    return usableUntilMs;
  }

  /** Releases the lease: it is no longer held, and the next write records that in the row. */
  public void release() {
    releasing = true;
    held = false;
    nextAttemptMs = Long.MIN_VALUE;
  }

  /** Returns whether the lease was released and the row is known to record it. */
  public boolean isReleased() {
    return releasing && row != null && !(isOwn(row) && !row.released());
  }

  /**
   * Returns the next operation.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public Command next(long nowMs) {
    if (operationPending || nowMs < nextAttemptMs || isReleased()) {
      return WAIT;
    }
    if (row == null) {
      return read(nowMs);
    }
    if (isOwn(row) && !row.released()) {
      return write(new Row(row.version(), epoch, incarnation, ++sequence, releasing), nowMs);
    }
    if (row.released() || watch.isExpired()) {
      return write(new Row(row.version(), row.epoch() + 1, incarnation, ++sequence, false), nowMs);
    }
    return read(nowMs);
  }

  private Command read(long nowMs) {
    operationPending = true;
    readSentMs = nowMs;
    return READ;
  }

  private Command write(Row next, long nowMs) {
    operationPending = true;
    sent = next;
    sentAtMs = nowMs;
    return new Command.Write(next);
  }

  /**
   * Handles the result of a read.
   *
   * @param found the row, {@link Row#NONE} if it does not exist
   * @param nowMs the monotonic time in milliseconds
   */
  public void onRead(Row found, long nowMs) {
    operationPending = false;
    if (isOwn(found) && !found.released()) {
      resumeFrom(found, nowMs);
      return;
    }
    held = false;
    if (watch == null) {
      watch = new LeaseWatch(timings.takeOverAfterMs(), timings.renewalGraceMs());
    }
    watch.onRead(found.version(), readSentMs, nowMs);
    row = found;
    nextAttemptMs = found.released() ? nowMs : nowMs + timings.retryMs();
  }

  /**
   * Continues from a row that this process wrote, possibly with a write whose response was lost.
   */
  private void resumeFrom(Row found, long nowMs) {
    row = found;
    epoch = found.epoch();
    nextAttemptMs = nowMs;
    if (sent != null && found.sequence() == sent.sequence()) {
      extend();
    }
  }

  private void extend() {
    held = !releasing;
    usableUntilMs = sentAtMs + timings.ttlMs() - timings.pauseMarginMs();
    nextAttemptMs = sentAtMs + timings.renewIntervalMs();
  }

  /**
   * Handles a failed read.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onReadFailed(long nowMs) {
    operationPending = false;
    if (watch != null) {
      watch.onReadFailed();
    }
    nextAttemptMs = nowMs + timings.retryMs();
  }

  /**
   * Handles a successful write.
   *
   * @param version the row's new version
   */
  public void onWritten(long version) {
    operationPending = false;
    row = new Row(version, sent.epoch(), incarnation, sent.sequence(), sent.released());
    epoch = sent.epoch();
    if (!sent.released()) {
      extend();
    }
  }

  /**
   * Handles a write that was rejected and did not take effect.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onRefused(long nowMs) {
    operationPending = false;
    nextAttemptMs = nowMs + timings.retryMs();
  }

  /**
   * Handles a write that met a conflict or whose response was lost: the row is read back.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onOutcomeUnknown(long nowMs) {
    operationPending = false;
    row = null;
    nextAttemptMs = nowMs;
  }

  private boolean isOwn(Row candidate) {
    return candidate.incarnation().equals(incarnation);
  }
}
