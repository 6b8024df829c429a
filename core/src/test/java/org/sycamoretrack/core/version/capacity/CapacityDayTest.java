package org.sycamoretrack.core.version.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Order;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Reason;
import org.sycamoretrack.core.version.capacity.CapacityInput.PoolCount;
import org.sycamoretrack.core.version.capacity.CapacityRecord.Outcome;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/**
 * Compares {@link CapacityPlanner} over a day of load with constant initial capacity and with
 * capacity that follows the queue length. Guards against a policy that saves endpoints at the cost
 * of late steps, and against orders that contradict the planner's rules.
 */
class CapacityDayTest {
  private static final long SEED = 20_261_206;
  private static final ScalingTerms TERMS =
      new ScalingTerms(1, 21, 4_000, 0.22, Map.of("za", 1.0, "zb", 1.1, "zc", 1.25));

  private static Map<CapacityPool, Integer> initial() {
    Map<CapacityPool, Integer> initial = new TreeMap<>();
    for (String zone : TERMS.zonePrices().keySet()) {
      initial.put(new CapacityPool(zone, EndpointKind.ON_DEMAND), 2);
      initial.put(new CapacityPool(zone, EndpointKind.SPOT), 1);
    }
    return initial;
  }

  /** Orders the initial number of each pool again whenever endpoints are missing. */
  private static void constant(SimulatedDay day, long nowMs) {
    Map<CapacityPool, PoolCount> listed = day.cloud.listed(nowMs);
    initial()
        .forEach(
            (pool, number) -> {
              if (listed.getOrDefault(pool, PoolCount.NONE).live() < number) {
                day.cloud.order(pool, number, nowMs);
              }
            });
  }

  /**
   * Orders one endpoint for each full set of slots of items, spread evenly, cheapest kind first.
   */
  private static SimulatedDay.Policy followingTheQueue() {
    Map<CapacityPool, Integer> ordered = new HashMap<>(initial());
    return (day, nowMs) -> {
      int total = Math.max(3, Math.ceilDiv(day.queueLength(), SimulatedDay.SLOTS));
      Map<CapacityPool, PoolCount> listed = day.cloud.listed(nowMs);
      int index = 0;
      for (CapacityPool pool : new TreeMap<>(initial()).keySet()) {
        int number = total / 6 + (index++ < total % 6 ? 1 : 0);
        boolean lost = listed.getOrDefault(pool, PoolCount.NONE).live() < number;
        if (lost || ordered.get(pool) != number) {
          day.cloud.order(pool, number, nowMs);
          ordered.put(pool, number);
        }
      }
    };
  }

  /** Runs the planner, with stale information for some seconds each ten minutes. */
  private static final class Planned implements SimulatedDay.Policy {
    private final CapacityPlanner planner = new CapacityPlanner();
    private final Map<String, long[]> changes = new HashMap<>();
    private CapacityRecord record = CapacityRecord.EMPTY;
    private CapacityInput seen;
    private long seenAtMs;

    @Override
    public void pass(SimulatedDay day, long nowMs) {
      if (seen == null || nowMs % 600_000 > 6_000) {
        seenAtMs = nowMs;
        seen =
            new CapacityInput(
                TERMS,
                day.cloud.listed(nowMs),
                0,
                day.work(nowMs),
                SimulatedDay.SLOTS * SimulatedDay.TOKENS_PER_SLOT_SECOND,
                0);
      }
      long ageMs = nowMs - seenAtMs;
      CapacityInput input =
          new CapacityInput(TERMS, seen.pools(), ageMs, seen.work(), seen.tokensPerSecond(), ageMs);
      boolean again = true;
      while (again) {
        CapacityDecision decision = planner.plan(input, record, nowMs);
        assertThat(ageMs <= 3_000 || decision.orders().isEmpty()).isTrue();
        again = false;
        Map<CapacityPool, Integer> before = new HashMap<>();
        record.pools().forEach((pool, state) -> before.put(pool, state.target()));
        record = decision.record();
        for (Order order : decision.orders()) {
          checkDirection(order, nowMs);
          Outcome outcome = day.cloud.order(order.pool(), order.number(), nowMs);
          record = record.onOutcome(order.pool(), order.number(), outcome, nowMs);
          again |= outcome == Outcome.UNAVAILABLE;
        }
      }
    }

    private void checkDirection(Order order, long nowMs) {
      if (order.reason() == Reason.UNCONFIRMED) {
        return;
      }
      long direction = order.reason() == Reason.SURPLUS ? -1 : 1;
      long[] last = changes.put(order.pool().zone(), new long[] {direction, nowMs});
      if (last != null && last[0] != direction) {
        assertThat(nowMs - last[1]).isGreaterThanOrEqualTo(10_000);
      }
    }
  }

  private static SimulatedDay play(String name, SimulatedDay.Policy policy) {
    SimulatedDay day = new SimulatedDay(TERMS, initial(), policy, SEED).play();
    System.out.printf(
        Locale.ROOT,
        "capacity-day %-14s steps %d in time %d (%.2f %%), endpoint-seconds %.0f, price %.0f,"
            + " orders %d%n",
        name,
        day.steps,
        day.stepsInTime,
        100.0 * day.stepsInTime / day.steps,
        day.cloud.endpointSeconds,
        day.cloud.price,
        day.cloud.orders);
    return day;
  }

  @Test
  void completesMoreStepsInTimeThanConstantCapacityAndThanTheQueueLength() {
    SimulatedDay planned = play("planned", new Planned());
    SimulatedDay constant = play("constant", CapacityDayTest::constant);
    SimulatedDay following = play("queue-length", followingTheQueue());

    for (SimulatedDay other : List.of(constant, following)) {
      assertThat((double) planned.stepsInTime / planned.steps)
          .isGreaterThan((double) other.stepsInTime / other.steps);
    }
    assertThat(planned.cloud.endpointSeconds)
        .isLessThanOrEqualTo(1.5 * 9 * SimulatedDay.DAY_MS / 1_000);
  }
}
