package org.sycamoretrack.core.process;

/**
 * Decides whether calls to a remote service are sent directly or relayed by a peer.
 *
 * <p>Calls are sent directly until one fails. From then on they are relayed, and one call in each
 * interval probes the direct path; the first success switches all calls back to it.
 *
 * <p>Thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class PathSwitch {
  private final long probeIntervalMs;
  private boolean direct = true;
  private long probeDueMs;

  /**
   * Creates a switch that uses the direct path.
   *
   * @param probeIntervalMs the interval between probes of the direct path while it fails
   */
  public PathSwitch(long probeIntervalMs) {
    this.probeIntervalMs = probeIntervalMs;
  }

  /** Returns whether the direct path is in use, that is not known to fail. */
  public synchronized boolean isDirect() {
    return direct;
  }

  /**
   * Returns whether to send a repeatable call directly. If it returns true while the direct path
   * fails, the call is a probe, and the next probe is due after the interval.
   *
   * @param nowMs the current time
   */
  public synchronized boolean tryDirect(long nowMs) {
    if (direct) {
      return true;
    }
    if (nowMs < probeDueMs) {
      return false;
    }
    probeDueMs = nowMs + probeIntervalMs;
    return true;
  }

  /**
   * Handles the failure of a direct call.
   *
   * @param nowMs the current time
   * @return whether the direct path was in use before
   */
  public synchronized boolean onFailed(long nowMs) {
    boolean wasDirect = direct;
    direct = false;
    if (wasDirect) {
      probeDueMs = nowMs + probeIntervalMs;
    }
    return wasDirect;
  }

  /**
   * Handles the success of a direct call.
   *
   * @return whether the direct path was failing before
   */
  public synchronized boolean onSucceeded() {
    boolean wasFailing = !direct;
    direct = true;
    return wasFailing;
  }
}
