package org.sycamoretrack.core.process;

/**
 * Detects the expiry of a lease that another process holds, by observing the lease row.
 *
 * <p>Clocks of different processes are not compared. The lease has expired when its row kept one
 * version for the full duration by this process's monotonic clock, measured from the response to a
 * read that returned the version until the sending of a later read that returned it too.
 *
 * <p>An earlier renewal may still be in transit. A process that acts on the expiry must therefore
 * first write the row, on condition that it still has the observed version. Once that write has
 * taken effect, no earlier renewal can.
 *
 * <p>While the row can't be read, its owner can't renew it either. After a failed read the row must
 * therefore stay unchanged for an additional grace period, in which a live owner renews it.
 *
 * <p>Example with a duration of 18 s: version 7 is read at 0 s and 10 s, version 8 at 15 s and
 * again by a read that is sent at 33 s and whose response is received at 34 s. The lease has
 * expired.
 */
public final class LeaseWatch {
  private final long graceMs;
  private long durationMs;
  private long version = -1;
  private long unchangedSinceMs;
  private long lastSentMs;
  private boolean readFailed;

  /**
   * Creates a watch without a grace period, for a row that is read only while the store that its
   * owner writes to is known to respond.
   *
   * @param durationMs how long the row must stay unchanged
   */
  public LeaseWatch(long durationMs) {
    this(durationMs, 0);
  }

  /**
   * Creates a watch.
   *
   * @param durationMs how long the row must stay unchanged
   * @param graceMs how long it must stay unchanged after a failed read
   */
  public LeaseWatch(long durationMs, long graceMs) {
    this.durationMs = durationMs;
    this.graceMs = graceMs;
  }

  /**
   * Extends the duration. What has been observed so far still counts.
   *
   * @param newDurationMs how long the row must stay unchanged; ignored if it is shorter than before
   */
  public void extendDuration(long newDurationMs) {
    durationMs = Math.max(durationMs, newDurationMs);
  }

  /** Handles a failed read. */
  public void onReadFailed() {
    readFailed = true;
  }

  /**
   * Handles the result of a read.
   *
   * @param seenVersion the version of the row, 0 if it does not exist
   * @param sentMs the monotonic time in milliseconds when the read was sent
   * @param receivedMs the monotonic time in milliseconds when its response was received
   */
  public void onRead(long seenVersion, long sentMs, long receivedMs) {
    if (seenVersion != version) {
      version = seenVersion;
      unchangedSinceMs = receivedMs;
    } else if (readFailed) {
      unchangedSinceMs = Math.max(unchangedSinceMs, receivedMs - durationMs + graceMs);
    }
    readFailed = false;
    lastSentMs = sentMs;
  }

  /** Returns whether the row has stayed unchanged for the duration. */
  public boolean isExpired() {
    return version >= 0 && lastSentMs - unchangedSinceMs >= durationMs;
  }

  /** Returns the version of the last read, -1 before the first one. */
  public long version() {
    return version;
  }
}
