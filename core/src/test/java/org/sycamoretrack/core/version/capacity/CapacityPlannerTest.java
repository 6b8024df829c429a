package org.sycamoretrack.core.version.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Order;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Reason;
import org.sycamoretrack.core.version.capacity.CapacityInput.PoolCount;
import org.sycamoretrack.core.version.capacity.CapacityRecord.Outcome;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/** Tests the rules of {@link CapacityPlanner} one by one. */
class CapacityPlannerTest {
  private static final ScalingTerms TERMS =
      new ScalingTerms(1, 21, 4_000, 0.22, Map.of("za", 1.0, "zb", 1.1, "zc", 1.25));
  private static final double TOKENS_PER_SECOND = 1_000;

  private final CapacityPlanner planner = new CapacityPlanner();
  private final Map<CapacityPool, PoolCount> pools = new TreeMap<>();
  private final List<BatchWork> work = new ArrayList<>();
  private CapacityRecord record = CapacityRecord.EMPTY;
  private long endpointsAgeMs;
  private long workAgeMs;

  CapacityPlannerTest() {
    for (String zone : TERMS.zonePrices().keySet()) {
      pools.put(onDemand(zone), new PoolCount(3, 0, 0));
      pools.put(spot(zone), new PoolCount(1, 0, 0));
    }
  }

  private static CapacityPool onDemand(String zone) {
    return new CapacityPool(zone, EndpointKind.ON_DEMAND);
  }

  private static CapacityPool spot(String zone) {
    return new CapacityPool(zone, EndpointKind.SPOT);
  }

  private List<Order> pass(long nowMs) {
    CapacityInput input =
        new CapacityInput(TERMS, pools, endpointsAgeMs, work, TOKENS_PER_SECOND, workAgeMs);
    CapacityDecision decision = planner.plan(input, record, nowMs);
    record = decision.record();
    return decision.orders();
  }

  private void answer(List<Order> orders, Outcome outcome, long nowMs) {
    orders.forEach(
        order -> record = record.onOutcome(order.pool(), order.number(), outcome, nowMs));
  }

  /** Guards against orders without cause, and against a baseline that isn't what was present. */
  @Test
  void ordersNothingWhileTheBaselineIsPresent() {
    for (long nowMs = 0; nowMs < 120_000; nowMs += 1_000) {
      assertThat(pass(nowMs)).isEmpty();
    }
    assertThat(record.baseline()).isEqualTo(12);
  }

  /** Guards against waiting until reclaimed endpoints have ended, and against orders to a zone. */
  @Test
  void replacesReclaimedEndpointsAtOnceElsewhere() {
    pass(0);
    pools.put(spot("za"), new PoolCount(0, 1, 1));

    List<Order> orders = pass(1_000);

    assertThat(orders).containsExactly(new Order(spot("zb"), 2, Reason.LOST));
  }

  /** Guards against a second order for endpoints that are still booting, and its omission later. */
  @Test
  void repeatsAnOrderOnlyWhenItsEndpointsDoNotAppear() {
    pass(0);
    pools.put(onDemand("za"), new PoolCount(2, 0, 0));
    answer(pass(1_000), Outcome.ACCEPTED, 1_000);

    for (long nowMs = 2_000; nowMs < 8_500; nowMs += 500) {
      assertThat(pass(nowMs)).isEmpty();
    }
    assertThat(pass(8_500)).hasSize(1);
  }

  /** Guards against the loss of a live endpoint being hidden by those that boot in its pool. */
  @Test
  void replacesALiveEndpointLostInAPoolThatBoots() {
    pass(0);
    pools.put(onDemand("zc"), new PoolCount(1, 0, 0));
    answer(pass(1_000), Outcome.ACCEPTED, 1_000);
    assertThat(record.booting()).isEqualTo(2);
    CapacityPool booting =
        record.pools().keySet().stream()
            .filter(p -> record.pool(p).booting() > 0)
            .findFirst()
            .get();
    int live = pools.get(booting).live();
    pools.put(booting, new PoolCount(live - 1, 0, 0));

    assertThat(pass(2_000)).singleElement().matches(order -> order.reason() == Reason.LOST);
  }

  /** Guards against waiting for a zone that has none, and against asking it too often. */
  @Test
  void triesOtherPoolsAtOnceAfterUnavailableAndTheSameAfterTwoSeconds() {
    pass(0);
    pools.put(spot("zc"), PoolCount.NONE);
    List<Order> first = pass(1_000);
    assertThat(first).containsExactly(new Order(spot("za"), 2, Reason.LOST));
    answer(first, Outcome.UNAVAILABLE, 1_000);

    List<Order> second = pass(1_000);
    assertThat(second).containsExactly(new Order(spot("zb"), 2, Reason.LOST));
    answer(second, Outcome.UNAVAILABLE, 1_000);
    answer(pass(1_000), Outcome.UNAVAILABLE, 1_000);
    answer(pass(1_000), Outcome.UNAVAILABLE, 1_000);
    answer(pass(1_000), Outcome.UNAVAILABLE, 1_000);
    answer(pass(1_000), Outcome.UNAVAILABLE, 1_000);
    assertThat(pass(2_900)).isEmpty();
    assertThat(pass(3_000)).containsExactly(new Order(spot("za"), 2, Reason.LOST));
  }

  /** Guards against an order that is lost for good, and against one that is counted twice. */
  @Test
  void repeatsAnOrderWithoutAResponseWithTheSameNumber() {
    pass(0);
    pools.put(spot("zc"), PoolCount.NONE);
    answer(pass(1_000), Outcome.UNKNOWN, 1_500);

    assertThat(pass(2_000)).isEmpty();
    assertThat(pass(3_000)).containsExactly(new Order(spot("za"), 2, Reason.UNCONFIRMED));
    pools.put(spot("za"), new PoolCount(2, 0, 0));
    assertThat(pass(6_000)).isEmpty();
    assertThat(record.available()).isEqualTo(12);
  }

  /** Guards against capacity that counts for ever because an order is refused each time. */
  @Test
  void triesAnotherPoolWhenAnOrderIsNeverConfirmed() {
    pass(0);
    pools.put(spot("zc"), PoolCount.NONE);
    for (long nowMs = 1_000; nowMs < 8_500; nowMs += 500) {
      assertThat(pass(nowMs)).allMatch(order -> order.pool().equals(spot("za")));
    }

    assertThat(pass(8_500)).containsExactly(new Order(spot("zb"), 2, Reason.LOST));
  }

  /** Guards against orders from outdated information: a partitioned holder sees nothing leave. */
  @ParameterizedTest
  @CsvSource({"3001, 0, 0", "3000, 0, 7", "0, 3001, 1", "0, 3000, 7"})
  void ordersNothingFromInformationOlderThanThreeSeconds(
      long endpointsAge, long workAge, int expectedBooting) {
    pass(0);
    endpointsAgeMs = endpointsAge;
    workAgeMs = workAge;
    pools.put(spot("zc"), PoolCount.NONE);
    work.add(new BatchWork(110_000, 7_500));

    List<Order> orders = pass(1_000);

    assertThat(orders.isEmpty()).isEqualTo(expectedBooting == 0);
    assertThat(record.booting()).isEqualTo(expectedBooting);
  }

  /** Guards against capacity without bound, in one zone or of spot endpoints only. */
  @Test
  void ordersForDeadlinesUpToHalfMoreAndWithinTheLimits() {
    pass(0);
    work.add(new BatchWork(1_000_000, 7_500));

    answer(pass(1_000), Outcome.ACCEPTED, 1_000);

    assertThat(record.available()).isEqualTo(18);
    for (String zone : TERMS.zonePrices().keySet()) {
      int spot = record.pool(spot(zone)).target();
      assertThat(spot + record.pool(onDemand(zone)).target()).isLessThanOrEqualTo(9);
      assertThat(spot).isLessThanOrEqualTo(4);
    }
    assertThat(pass(2_000)).isEmpty();
  }

  /**
   * Guards against orders for work that completes in time, and late orders for work that doesn't.
   */
  @ParameterizedTest
  @CsvSource({"70000, 7500, 0", "73000, 7500, 1", "80000, 7500, 3", "500000, -1, 0"})
  void ordersWhatTheDeadlinesNeed(double tokens, long dueInMs, int additional) {
    pass(0);
    work.add(new BatchWork(tokens, dueInMs));
    work.add(new BatchWork(5_000_000, BatchWork.NO_DEADLINE));

    pass(1_000);

    assertThat(record.available()).isEqualTo(12 + additional);
  }

  /** Guards against releasing what the next batch needs, and against releasing all at once. */
  @Test
  void releasesOneEndpointAtATimeAfterTwentySecondsWithoutNeed() {
    pass(0);
    work.add(new BatchWork(80_000, 7_500));
    answer(pass(1_000), Outcome.ACCEPTED, 1_000);
    work.clear();
    record.pools().forEach((pool, state) -> pools.put(pool, new PoolCount(state.target(), 0, 0)));
    List<Long> releasedAtMs = new ArrayList<>();

    for (long nowMs = 2_000; nowMs < 90_000; nowMs += 1_000) {
      List<Order> orders = pass(nowMs);
      for (Order order : orders) {
        assertThat(order.reason()).isEqualTo(Reason.SURPLUS);
        releasedAtMs.add(nowMs);
        pools.put(order.pool(), new PoolCount(order.number(), 0, 0));
      }
      answer(orders, Outcome.ACCEPTED, nowMs);
    }

    assertThat(releasedAtMs).containsExactly(21_000L, 26_000L, 31_000L);
    assertThat(record.available()).isEqualTo(12);
  }

  /** Guards against a second order by a holder that takes over while endpoints are booting. */
  @Test
  void newHolderWaitsForEndpointsThatBoot() {
    pass(0);
    pools.put(spot("zc"), PoolCount.NONE);
    answer(pass(1_000), Outcome.ACCEPTED, 1_000);

    record = record.takeOver(900_000);

    assertThat(pass(900_000)).isEmpty();
    pools.put(spot("za"), new PoolCount(2, 0, 0));
    assertThat(pass(904_000)).isEmpty();
    assertThat(record.available()).isEqualTo(12);
  }

  /** Guards against an order lost because the holder died between its record and the call. */
  @Test
  void newHolderRepeatsAnOrderWhoseOutcomeWasNotRecorded() {
    pass(0);
    pools.put(spot("zc"), PoolCount.NONE);
    pass(1_000);

    record = record.takeOver(50);

    assertThat(pass(1_050)).containsExactly(new Order(spot("za"), 2, Reason.UNCONFIRMED));
  }

  /** Guards against a late order that takes endpoints away without being noticed. */
  @Test
  void restoresWhatALateOrderTookAway() {
    pass(0);
    pools.put(onDemand("zb"), new PoolCount(1, 2, 0));

    List<Order> orders = pass(1_000);

    assertThat(orders).isNotEmpty();
    assertThat(record.available()).isEqualTo(12);
  }
}
