package org.sycamoretrack.core.process;

/**
 * Detects that the zone of this node is cut off from the store and from all other zones.
 *
 * <p>The store alone is no evidence: while it is down for all nodes, no zone serves more than
 * another. The zone counts as cut off if neither the store nor a peer of another zone has been
 * reachable for {@value #CONFIRM_MS} ms. A node of such a zone asks for no new connections, so that
 * callers are sent to zones that can serve them; it goes on serving those that it has.
 *
 * <p>Not thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class ZoneIsolation {
  /** Connections to peers are up within this time if the network is. */
  private static final long CONFIRM_MS = 600;

  private long suspectedSinceMs = Long.MAX_VALUE;
  private boolean isolated;

  /** Creates a detector for a zone that isn't cut off. */
  public ZoneIsolation() {}

  /**
   * Handles the current state of the connections.
   *
   * @param storeReachable whether calls reach the store directly
   * @param otherZones whether live peers of other zones are known
   * @param otherZoneReachable whether a peer of another zone is connected
   * @param nowMs the current time
   * @return whether this changed {@link #isIsolated}
   */
  public boolean update(
      boolean storeReachable, boolean otherZones, boolean otherZoneReachable, long nowMs) {
    boolean wasIsolated = isolated;
    if (storeReachable || otherZoneReachable || !(otherZones || isolated)) {
      suspectedSinceMs = Long.MAX_VALUE;
      isolated = false;
    } else {
      suspectedSinceMs = Math.min(suspectedSinceMs, nowMs);
      isolated = isolated || nowMs - suspectedSinceMs >= CONFIRM_MS;
    }
    return isolated != wasIsolated;
  }

  /** Returns whether the zone is cut off. */
  public boolean isIsolated() {
    return isolated;
  }
}
