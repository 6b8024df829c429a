package org.sycamoretrack.core.version.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Order;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Reason;
import org.sycamoretrack.core.version.capacity.CapacityRecord.ZoneChange;

/**
 * Decides how many endpoints a service should have in each zone and of each kind.
 *
 * <p>The load: trainers submit a batch of 100 to 140 items about every 4 s, due 7.5 s later; an
 * endpoint runs 8 items, serves some 4 s after it was ordered, and all spot endpoints of a zone may
 * be reclaimed within 2.5 s. The price of all endpoints is about 2 % of the value of the steps, so
 * the number is never below the baseline, which is what the service had when it was first observed.
 *
 * <p>One pass compares {@code required}, which is the baseline or what the open batches need up to
 * {@value #MAX_BASELINE_PERCENT} % of it, with the endpoints that are live or booting:
 *
 * <ul>
 *   <li>fewer: the missing ones are ordered at once, wherever orders are accepted ({@link
 *       PoolChoice});
 *   <li>more, for {@value #RELEASE_DELAY_MS} ms without need: one endpoint is released, and another
 *       one every {@value #RELEASE_INTERVAL_MS} ms.
 * </ul>
 *
 * <p>An order sets the absolute number of a pool, so that repeating it has no further effect. Its
 * endpoints count from the order on, for as long as booting takes; after that only those that are
 * listed count. An order without a response is repeated after {@value #RETRY_MS} ms. An order that
 * takes effect late is thus seen as surplus or as a loss, and corrected.
 *
 * <p>Example: 12 endpoints in three zones; the 3 spot endpoints of a zone are reclaimed. The same
 * pass orders 3 in the cheapest other pools. One of these pools answers 409: the next pass, at
 * once, orders them elsewhere, and that pool is tried again 2 s later.
 */
public final class CapacityPlanner {
  /** The time after which a pool that rejected an order is tried again, in milliseconds. */
  static final long RETRY_MS = 2_000;

  /** Information that is older than this isn't the basis of an order, in milliseconds. */
  private static final long MAX_AGE_MS = 3_000;

  /** The time without need after which an endpoint is released, in milliseconds. */
  private static final long RELEASE_DELAY_MS = 20_000;

  /** More than a boot time, so that the effect of a release is visible before the next one. */
  private static final long RELEASE_INTERVAL_MS = 5_000;

  /** The number of endpoints of a zone changes direction at most once in this time. */
  private static final long DIRECTION_MS = 10_000;

  /** The maximum capacity as a percentage of the baseline. */
  private static final int MAX_BASELINE_PERCENT = 150;

  /**
   * Added to the boot time before ordered endpoints count as missing: covers half a boot time more
   * and the delay of the list of endpoints.
   */
  private static final long BOOT_MARGIN_MS = 1_500;

  private static final double SLOW_BOOT_FACTOR = 1.5;
  private static final int PERCENT = 100;

  /** Creates a planner. */
  public CapacityPlanner() {}

  /**
   * Decides on the capacity of a service.
   *
   * @param input the state of the service
   * @param before the record of the previous decision, {@link CapacityRecord#EMPTY} at first
   * @param nowMs the current time in milliseconds of the monotonic clock
   * @return the record to store and the orders to send
   */
  public CapacityDecision plan(CapacityInput input, CapacityRecord before, long nowMs) {
    if (input.endpointsAgeMs() > MAX_AGE_MS) {
      return new CapacityDecision(before, List.of());
    }
    CapacityRecord observed = observe(input, before, nowMs);
    if (observed.baseline() == 0) {
      return new CapacityDecision(observed, List.of());
    }
    boolean workKnown = input.workAgeMs() <= MAX_AGE_MS;
    int available = observed.available();
    int maximum = observed.baseline() * MAX_BASELINE_PERCENT / PERCENT;
    int additional = workKnown ? CapacityNeed.additional(input, observed, nowMs) : 0;
    int floor = Math.max(observed.baseline(), workKnown ? CapacityNeed.minimum(input) : available);
    boolean inUse = additional > 0 || available <= floor;
    long needAtMs = inUse ? nowMs : observed.needAtMs();
    boolean surplus = nowMs - needAtMs >= RELEASE_DELAY_MS;
    int required = surplus ? floor : observed.required();
    if (additional > 0) {
      required = Math.max(required, Math.min(maximum, available + additional));
    }
    Pass pass = new Pass(input, observed, required, nowMs);
    pass.repeatUnconfirmed();
    if (available < required) {
      pass.add(required - available, additional > 0 ? Reason.DEADLINE : Reason.LOST);
    }
    long releasedAtMs = observed.releasedAtMs();
    if (surplus && nowMs - releasedAtMs >= RELEASE_INTERVAL_MS && pass.release()) {
      releasedAtMs = nowMs;
    }
    CapacityRecord after =
        new CapacityRecord(
            observed.baseline(), required, pass.pools, pass.zones, needAtMs, releasedAtMs);
    return new CapacityDecision(after, pass.orders);
  }

  /** Applies the listed endpoints to a record. Sets the baseline at the first observation. */
  private static CapacityRecord observe(CapacityInput input, CapacityRecord before, long nowMs) {
    long timeoutMs = Math.round(input.terms().bootMs() * SLOW_BOOT_FACTOR) + BOOT_MARGIN_MS;
    Map<CapacityPool, PoolRecord> pools = new TreeMap<>(before.pools());
    input.pools().keySet().forEach(pool -> pools.putIfAbsent(pool, PoolRecord.EMPTY));
    pools.replaceAll((pool, record) -> record.observe(input.count(pool).live(), nowMs, timeoutMs));
    int baseline = before.baseline();
    if (baseline == 0) {
      baseline =
          input.pools().values().stream().mapToInt(count -> count.live() + count.draining()).sum();
    }
    boolean first = before.needAtMs() == Long.MIN_VALUE;
    return new CapacityRecord(
        baseline,
        Math.max(before.required(), baseline),
        pools,
        before.zones(),
        first ? nowMs : before.needAtMs(),
        first ? nowMs : before.releasedAtMs());
  }

  /** The orders of one pass. */
  private static final class Pass {
    private final CapacityInput input;
    private final long nowMs;
    private final PoolChoice choice;
    private final Map<CapacityPool, PoolRecord> pools;
    private final Map<String, ZoneChange> zones;
    private final List<Order> orders = new ArrayList<>();

    private Pass(CapacityInput input, CapacityRecord record, int required, long nowMs) {
      this.input = input;
      this.nowMs = nowMs;
      this.choice = new PoolChoice(input.terms(), required, record);
      this.pools = new TreeMap<>(record.pools());
      this.zones = new TreeMap<>(record.zones());
    }

    /** Sends orders without a response again, with the same number. */
    private void repeatUnconfirmed() {
      pools.replaceAll(
          (pool, record) -> {
            if (record.state() != PoolRecord.State.UNCONFIRMED || nowMs < record.retryAtMs()) {
              return record;
            }
            orders.add(new Order(pool, record.target(), Reason.UNCONFIRMED));
            return record.repeat(nowMs);
          });
    }

    private void add(int count, Reason reason) {
      Map<CapacityPool, Integer> added = new TreeMap<>();
      for (int i = 0; i < count; i++) {
        choice.add(this::mayAdd).ifPresent(pool -> added.merge(pool, 1, Integer::sum));
      }
      added.keySet().forEach(pool -> order(pool, reason, true));
    }

    private boolean release() {
      Optional<CapacityPool> pool = choice.release(this::mayRelease);
      pool.ifPresent(chosen -> order(chosen, Reason.SURPLUS, false));
      return pool.isPresent();
    }

    private void order(CapacityPool pool, Reason reason, boolean increases) {
      int number = choice.target(pool);
      pools.merge(
          pool,
          PoolRecord.EMPTY.order(number, nowMs),
          (record, unused) -> record.order(number, nowMs));
      zones.put(pool.zone(), new ZoneChange(increases, nowMs));
      orders.add(new Order(pool, number, reason));
    }

    private boolean mayAdd(CapacityPool pool) {
      PoolRecord record = pools.getOrDefault(pool, PoolRecord.EMPTY);
      return record.state() != PoolRecord.State.UNCONFIRMED
          && nowMs >= record.retryAtMs()
          && input.count(pool).reclaimed() == 0
          && mayChange(pool, true);
    }

    private boolean mayRelease(CapacityPool pool) {
      return !pools.getOrDefault(pool, PoolRecord.EMPTY).isPending() && mayChange(pool, false);
    }

    private boolean mayChange(CapacityPool pool, boolean increases) {
      ZoneChange last = zones.get(pool.zone());
      return last == null || last.increased() == increases || nowMs - last.atMs() >= DIRECTION_MS;
    }
  }
}
