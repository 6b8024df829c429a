package org.sycamoretrack.core.version.capacity;

/**
 * What is known of the orders for one pool. Immutable.
 *
 * <p>{@code target} is the number of endpoints that the pool has or is about to have. While an
 * order is pending, it is the ordered number minus the endpoints that were lost since; otherwise it
 * is the number of live endpoints. For example, 6 are ordered while 4 are live, and one of the 4
 * crashes: the target is 5, of which 3 are live and 2 are booting.
 *
 * @param target the expected number of endpoints
 * @param live the number of live endpoints at the last observation
 * @param state the state of the latest order
 * @param orderedAtMs when the latest order was first sent, in milliseconds of the monotonic clock
 * @param retryAtMs the earliest time at which an unconfirmed order is repeated, or a pool that
 *     rejected one gets the next order
 * @param fallback the target if the latest order isn't carried out
 */
public record PoolRecord(
    int target, int live, State state, long orderedAtMs, long retryAtMs, int fallback) {
  /** A pool without endpoints and orders. */
  public static final PoolRecord EMPTY = new PoolRecord(0, 0, State.NONE, 0, 0, 0);

  /** For this time other pools are preferred to one whose orders were never confirmed. */
  private static final long UNCONFIRMED_PAUSE_MS = 10_000;

  /** The state of the latest order. */
  public enum State {
    /** No order is pending. */
    NONE,
    /** The order was sent or is about to be; its outcome is unknown. */
    UNCONFIRMED,
    /** The order was accepted, and its endpoints haven't appeared or left yet. */
    ACCEPTED
  }

  /** Returns whether an order has not taken full effect yet. */
  public boolean isPending() {
    return state != State.NONE;
  }

  /** Returns the number of endpoints that were ordered and don't serve yet. */
  public int booting() {
    return Math.max(0, target - live);
  }

  /**
   * Returns this record after an observation.
   *
   * @param liveNow the number of live endpoints
   * @param nowMs the current time
   * @param timeoutMs the time after which a pending order isn't waited for any longer
   */
  PoolRecord observe(int liveNow, long nowMs, long timeoutMs) {
    if (!isPending() || nowMs - orderedAtMs >= timeoutMs) {
      long retryMs = state == State.UNCONFIRMED ? nowMs + UNCONFIRMED_PAUSE_MS : retryAtMs;
      return new PoolRecord(liveNow, liveNow, State.NONE, orderedAtMs, retryMs, liveNow);
    }
    int lost = target >= live ? Math.max(0, live - liveNow) : 0;
    int expected = Math.max(0, target - lost);
    boolean visible = state == State.ACCEPTED || (lost == 0 && target != fallback);
    if (visible && expected == liveNow) {
      return new PoolRecord(liveNow, liveNow, State.NONE, orderedAtMs, retryAtMs, liveNow);
    }
    return new PoolRecord(
        expected, liveNow, state, orderedAtMs, retryAtMs, Math.max(0, fallback - lost));
  }

  /**
   * Returns this record after an order was decided.
   *
   * @param number the ordered number of endpoints
   * @param nowMs the current time
   */
  PoolRecord order(int number, long nowMs) {
    return new PoolRecord(
        number, live, State.UNCONFIRMED, nowMs, nowMs + CapacityPlanner.RETRY_MS, target);
  }

  /**
   * Returns this record after an unconfirmed order was repeated. The time for which its endpoints
   * count isn't extended: an order that is never confirmed must not replace capacity for long.
   *
   * @param nowMs the current time
   */
  PoolRecord repeat(long nowMs) {
    return new PoolRecord(
        target, live, state, orderedAtMs, nowMs + CapacityPlanner.RETRY_MS, fallback);
  }

  /** Returns this record after its order was accepted. */
  PoolRecord accept() {
    return new PoolRecord(target, live, State.ACCEPTED, orderedAtMs, orderedAtMs, fallback);
  }

  /**
   * Returns this record after its order was rejected.
   *
   * @param retryMs the time of the next attempt
   */
  PoolRecord reject(long retryMs) {
    State before = fallback > live ? State.ACCEPTED : State.NONE;
    return new PoolRecord(fallback, live, before, orderedAtMs, retryMs, fallback);
  }

  /**
   * Returns this record as a new holder takes it over. Clocks of hosts aren't compared, so a
   * pending order counts as sent at the time of the takeover, and an unconfirmed one is repeated.
   *
   * @param nowMs the current time of the new holder
   */
  PoolRecord takeOver(long nowMs) {
    return new PoolRecord(target, live, state, nowMs, nowMs, fallback);
  }
}
