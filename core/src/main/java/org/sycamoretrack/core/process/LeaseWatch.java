package org.sycamoretrack.core.process;

/**
 * Tells from outside when another process's lease has run out.
 *
 * <p>No clocks are compared: the lease has run out when its row had one version for the whole
 * duration by this process's monotonic clock, counted from when a read that showed the version was
 * answered until a later read that showed it too was sent.
 *
 * <p>A renewal that was sent before may still be on its way. Whoever acts on the lease's end
 * therefore first writes the row, on condition of the version that was watched: once that write has
 * taken effect, no older renewal can.
 *
 * <p>While the row can't be read, its owner can't renew it either. So after a failed read the row
 * must stay unchanged for a grace period more, within which a live owner renews it.
 *
 * <p>Example with a duration of 18 s: version 7 is seen at 0 s and 10 s, version 8 at 15 s and in a
 * read that was sent at 33 s and answered at 34 s. The lease has run out.
 */
public final class LeaseWatch {
  private final long durationMs;
  private final long graceMs;
  private long version = -1;
  private long sinceMs;
  private long lastSentMs;
  private boolean readFailed;

  /**
   * Creates a watch that has seen nothing, for a row that is read from the store that its owner
   * writes to only while that store is known to answer.
   *
   * @param durationMs for how long the row must stay unchanged
   */
  public LeaseWatch(long durationMs) {
    this(durationMs, 0);
  }

  /**
   * Creates a watch that has seen nothing.
   *
   * @param durationMs for how long the row must stay unchanged
   * @param graceMs for how long it must stay unchanged after a read failed
   */
  public LeaseWatch(long durationMs, long graceMs) {
    this.durationMs = durationMs;
    this.graceMs = graceMs;
  }

  /** Notes that the row could not be read. */
  public void onReadFailed() {
    readFailed = true;
  }

  /**
   * Takes the version that the row was read with.
   *
   * @param seenVersion the version, 0 when there is no row
   * @param sentMs the monotonic time in milliseconds when the read was sent
   * @param answeredMs the monotonic time in milliseconds when it was answered
   */
  public void onSeen(long seenVersion, long sentMs, long answeredMs) {
    if (seenVersion != version) {
      version = seenVersion;
      sinceMs = answeredMs;
    } else if (readFailed) {
      sinceMs = Math.max(sinceMs, answeredMs - durationMs + graceMs);
    }
    readFailed = false;
    lastSentMs = sentMs;
  }

  /** Returns whether the row has stayed unchanged for the duration. */
  public boolean isExpired() {
    return version >= 0 && lastSentMs - sinceMs >= durationMs;
  }

  /** Returns the version that was seen last, -1 when none was. */
  public long version() {
    return version;
  }
}
