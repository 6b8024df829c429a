package org.sycamoretrack.core.connection;

/**
 * Divides a number of bytes among holders whose final size is unknown, such as responses that are
 * being received.
 *
 * <p>A holder may hold at most as many bytes as stay free. This is the dynamic threshold of shared
 * packet buffers: it needs no list of holders, and it leaves room for new ones however many grow
 * without end. If {@code k} of them take all that they get, each holds {@code maxBytes / (k + 1)}
 * at most, and as much stays free.
 *
 * <p>Example: of 12 MB, one holder gets 6 MB, and three get 3 MB each; a fourth that needs 100 KB
 * gets them.
 *
 * <p>Invariant: at most {@code maxBytes} are reserved. Thread-safe.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long reservedBytes;

  /**
   * Creates a budget.
   *
   * @param maxBytes the number of bytes that are divided
   */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reserves bytes for a holder.
   *
   * @param heldBytes the bytes that the holder has reserved before
   * @param additionalBytes the bytes to reserve now
   * @return whether they are reserved; if not, the holder keeps what it held
   */
  public synchronized boolean tryReserve(long heldBytes, long additionalBytes) {
    long freeBytes = maxBytes - reservedBytes - additionalBytes;
    if (heldBytes + additionalBytes > freeBytes) {
      return false;
    }
    reservedBytes += additionalBytes;
    return true;
  }

  /**
   * Returns bytes to the budget.
   *
   * @param bytes a number of bytes that are reserved
   */
  public synchronized void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the number of reserved bytes. */
  public synchronized long reservedBytes() {
    return reservedBytes;
  }
}
