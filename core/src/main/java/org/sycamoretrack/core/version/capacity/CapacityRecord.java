package org.sycamoretrack.core.version.capacity;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the holder of the duty remembers of one service, and stores so that the next holder doesn't
 * order twice. Immutable. Times are in milliseconds of the holder's monotonic clock.
 *
 * @param baseline the number of endpoints when the service was first observed; 0 before that
 * @param required the number of endpoints that the service should have
 * @param pools the orders by pool
 * @param zones the latest change by zone
 * @param needAtMs when the present endpoints were last needed
 * @param releasedAtMs when an endpoint was last released
 */
public record CapacityRecord(
    int baseline,
    int required,
    Map<CapacityPool, PoolRecord> pools,
    Map<String, ZoneChange> zones,
    long needAtMs,
    long releasedAtMs) {
  /** The record of a service that was not observed yet. */
  public static final CapacityRecord EMPTY =
      new CapacityRecord(0, 0, Map.of(), Map.of(), Long.MIN_VALUE, Long.MIN_VALUE);

  /** Copies the maps. */
  public CapacityRecord {
    pools = Map.copyOf(pools);
    zones = Map.copyOf(zones);
  }

  /**
   * The latest change of the number of endpoints in a zone.
   *
   * @param increased whether the order added endpoints
   * @param atMs when it was sent
   */
  public record ZoneChange(boolean increased, long atMs) {}

  /** How an order ended. */
  public enum Outcome {
    /** The order was accepted. */
    ACCEPTED,
    /** None are available in the pool at the moment. */
    UNAVAILABLE,
    /** The order was not carried out for another reason. */
    REFUSED,
    /** There was no response; the order may have been carried out, or may still be. */
    UNKNOWN
  }

  /** Returns the record of a pool. */
  public PoolRecord pool(CapacityPool pool) {
    return pools.getOrDefault(pool, PoolRecord.EMPTY);
  }

  /** Returns the number of endpoints that are live or booting. */
  public int available() {
    return pools.values().stream().mapToInt(PoolRecord::target).sum();
  }

  /** Returns the number of endpoints that were ordered and don't serve yet. */
  public int booting() {
    return pools.values().stream().mapToInt(PoolRecord::booting).sum();
  }

  /** Returns the records of all pools in the order of their names. */
  public SortedMap<CapacityPool, PoolRecord> sortedPools() {
    return new TreeMap<>(pools);
  }

  /**
   * Returns this record after the outcome of an order.
   *
   * @param pool the pool of the order
   * @param number the ordered number
   * @param outcome the outcome
   * @param nowMs the current time
   */
  public CapacityRecord onOutcome(CapacityPool pool, int number, Outcome outcome, long nowMs) {
    PoolRecord record = pool(pool);
    if (record.state() != PoolRecord.State.UNCONFIRMED) {
      return this;
    }
    PoolRecord after =
        switch (outcome) {
          case ACCEPTED -> record.accept();
          case UNAVAILABLE, REFUSED -> record.reject(nowMs + CapacityPlanner.RETRY_MS);
          case UNKNOWN -> record;
        };
    return withPool(pool, after);
  }

  /**
   * Returns this record as a new holder takes it over.
   *
   * @param nowMs the current time of the new holder
   */
  public CapacityRecord takeOver(long nowMs) {
    Map<CapacityPool, PoolRecord> taken = new TreeMap<>();
    pools.forEach((pool, record) -> taken.put(pool, record.takeOver(nowMs)));
    return new CapacityRecord(baseline, required, taken, zones, nowMs, nowMs);
  }

  CapacityRecord withPool(CapacityPool pool, PoolRecord record) {
    Map<CapacityPool, PoolRecord> changed = new TreeMap<>(pools);
    changed.put(pool, record);
    return new CapacityRecord(baseline, required, changed, zones, needAtMs, releasedAtMs);
  }
}
