package org.sycamoretrack.core.process;

import java.util.Objects;

/**
 * A node's lease on its id: the state machine of taking, renewing and losing it.
 *
 * <p>The lease is one row of the table service. Each write of it is conditional on the row's
 * version and names the process that wrote it (its incarnation), the epoch and a sequence number.
 * The class does no I/O: {@link #next} says what to do, and the {@code on...} methods take the
 * results. One operation is under way at a time.
 *
 * <p>How long the lease holds is measured by this process's monotonic clock from <em>before</em> a
 * write was sent, while others measure from when they saw the row change, which is later. So the
 * holder stops before anyone else takes over, however long the answer took:
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
 *   <li>A write whose answer was lost, or that met a conflict, proves nothing. The row is read
 *       back: when it carries this incarnation the lease is still held, and its time is that of the
 *       write found there; when it carries another, the lease is lost.
 *   <li>The epoch rises each time that a process takes the lease, and stays while it renews.
 * </ul>
 *
 * <p>A process that finds another's lease, be it an earlier one of the same id, takes over when the
 * row stayed unchanged for {@link LeaseTimes#takeOverAfterMs}, or at once when it was given back.
 * After a failed read it also waits for {@link LeaseTimes#renewalGraceMs}, so that a live holder
 * that the store had turned away too can renew first.
 *
 * <p>Example with a ttl of 10 s and a margin of 2 s: a renewal is sent at 5 s and its answer is
 * lost. At 6 s the row is read back with that renewal's sequence number: the lease holds until 13
 * s. Had the row been unchanged, it would hold until 8 s after the write before, and be renewed at
 * once.
 */
public final class Lease {
  /**
   * The lease's row as it was read.
   *
   * @param version the row's version, 0 when there is no row
   * @param epoch how many times the lease was taken
   * @param incarnation the process that wrote it, empty when there is no row
   * @param sequence the number of the write within its incarnation
   * @param released whether the holder gave it back
   */
  public record Row(long version, long epoch, String incarnation, long sequence, boolean released) {
    /** The row that doesn't exist. */
    public static final Row NONE = new Row(0, 0, "", 0, true);
  }

  /** What is to be done. */
  public sealed interface Command {
    /** Nothing until the next call. */
    record Wait() implements Command {}

    /** Read the row and call {@link #onRead} or {@link #onReadFailed}. */
    record Read() implements Command {}

    /**
     * Write the row and call {@link #onWritten}, {@link #onRefused} or {@link #onUnsettled}.
     *
     * @param row what to write; its version is the one that the row must have now, 0 for no row
     */
    record Write(Row row) implements Command {}
  }

  private static final Command WAIT = new Command.Wait();
  private static final Command READ = new Command.Read();

  private final LeaseTimes times;
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
   * @param times its durations
   * @param incarnation names this process and no other, past or future
   */
  public Lease(LeaseTimes times, String incarnation) {
    this.times = times;
    this.incarnation = Objects.requireNonNull(incarnation);
  }

  /** Returns whether a guarded act may be done at the given time. */
  public boolean holds(long nowMs) {
    return held && nowMs < usableUntilMs;
  }

  /** Returns the epoch of the lease, 0 when it is not held. */
  public long epoch() {
    return held ? epoch : 0;
  }

  /** Returns the time from which {@link #holds} is false; meaningful while it is true. */
  public long usableUntilMs() {
    return usableUntilMs;
  }

  /** Gives the lease back: it stops holding now, and the row says so after the next write. */
  public void release() {
    releasing = true;
    held = false;
    nextAttemptMs = Long.MIN_VALUE;
  }

  /** Returns whether the lease was given back and the row is known to say so. */
  public boolean isReleased() {
    return releasing && row != null && !(isOwn(row) && !row.released());
  }

  /**
   * Returns what to do.
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
   * Takes the row as it was read.
   *
   * @param found the row, {@link Row#NONE} when there is none
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
      watch = new LeaseWatch(times.takeOverAfterMs(), times.renewalGraceMs());
    }
    watch.onSeen(found.version(), readSentMs, nowMs);
    row = found;
    nextAttemptMs = found.released() ? nowMs : nowMs + times.retryMs();
  }

  /** Goes on from a row that this process wrote, though it may not have learnt so before. */
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
    usableUntilMs = sentAtMs + times.ttlMs() - times.pauseMarginMs();
    nextAttemptMs = sentAtMs + times.renewIntervalMs();
  }

  /**
   * Notes that the row could not be read.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onReadFailed(long nowMs) {
    operationPending = false;
    if (watch != null) {
      watch.onReadFailed();
    }
    nextAttemptMs = nowMs + times.retryMs();
  }

  /**
   * Notes that the write took effect.
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
   * Notes that the write was refused and did not take effect.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onRefused(long nowMs) {
    operationPending = false;
    nextAttemptMs = nowMs + times.retryMs();
  }

  /**
   * Notes that the write met a conflict or that its answer was lost: the row is read back.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onUnsettled(long nowMs) {
    operationPending = false;
    row = null;
    nextAttemptMs = nowMs;
  }

  private boolean isOwn(Row any) {
    return any.incarnation().equals(incarnation);
  }
}
