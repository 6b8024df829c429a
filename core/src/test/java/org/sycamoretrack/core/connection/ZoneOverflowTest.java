package org.sycamoretrack.core.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.version.fleet.Endpoint;

/** Tests of {@link ZoneOverflow} and its use by {@link SlotPlacement}. */
class ZoneOverflowTest {
  private static final int SLOTS = 10;
  private static final ZoneWork PLAIN = ZoneWork.plain("s", 500);

  private final SlotTracker tracker = new SlotTracker();
  private final List<String> changes = new ArrayList<>();
  private ZoneOverflow overflow = overflow(46);
  private final Endpoint near = endpoint("near-1", "near");
  private final Endpoint far = endpoint("far-1", "far");
  private final Endpoint distant = endpoint("distant-1", "distant");
  private final List<Endpoint> all = List.of(far, near, distant);

  private ZoneOverflow overflow(double pricePerGb) {
    return new ZoneOverflow(
        tracker,
        "near",
        new ZoneTraffic(pricePerGb, 0.01),
        (kind, pool, toZone, expectedMs) -> changes.add(kind + " " + toZone));
  }

  private static Endpoint endpoint(String id, String zone) {
    return new Endpoint(id, "s", new InetSocketAddress(1), zone, SLOTS, false, 0, Map.of());
  }

  private static ZoneWork item(int waiting, long remainingMs) {
    return ZoneWork.item(ZoneWork.itemPool("s", "m"), 2_000, 1_500, waiting, remainingMs);
  }

  private Endpoint choose(ZoneWork work, long nowMs) {
    return new SlotPlacement(tracker, overflow).choose(work, all, Set.of(), nowMs);
  }

  private void fill(Endpoint endpoint, int requests) {
    for (int i = 0; i < requests; i++) {
      tracker.onSent(endpoint.id());
    }
  }

  /** Guards against traffic that is paid for without need. */
  @ParameterizedTest
  @CsvSource({"0, near", "5, near", "9, near", "12, near", "25, far"})
  void plainRequestLeavesWhenItsZoneTakesLonger(int localRequests, String zone) {
    fill(near, localRequests);

    assertThat(choose(PLAIN, 1).zone()).isEqualTo(zone);
  }

  /** A wait of 9 ms beside a usual time of 30 ms: above the margin, below margin and price. */
  @ParameterizedTest
  @CsvSource({"0, far", "46, near", "1000, near"})
  void aHigherPriceKeepsPlainRequests(double pricePerGb, String zone) {
    overflow = overflow(pricePerGb);
    fill(near, 13);

    assertThat(choose(PLAIN, 1).zone()).isEqualTo(zone);
  }

  @Test
  void leavesAtOnceWhenNoLocalEndpointIsUsable() {
    tracker.onRefused(near.id(), 500);
    for (int i = 0; i < 5; i++) {
      Endpoint chosen = choose(PLAIN, 1);
      assertThat(chosen.zone()).as("the zone has failed").isNotEqualTo("near");
      tracker.onSent(chosen.id());
    }
    assertThat(choose(PLAIN, 500)).as("after the pause").isEqualTo(near);
  }

  @Test
  void leavesAtOnceWhenTheZoneHasNoEndpoints() {
    SlotPlacement placement = new SlotPlacement(tracker, overflow);

    assertThat(placement.choose(item(1, 100), List.of(far), Set.of(), 1)).isEqualTo(far);
    fill(far, SLOTS);
    assertThat(placement.choose(item(1, 100), List.of(far), Set.of(), 1)).isNull();
    assertThat(placement.choose(PLAIN, List.of(far), Set.of(), 1)).isEqualTo(far);
    assertThat(placement.choose(PLAIN, List.of(), Set.of(), 1)).isNull();
  }

  @Test
  void endpointsThatAreAllPausedAreStillTried() {
    all.forEach(endpoint -> tracker.onRefused(endpoint.id(), 500));

    assertThat(choose(PLAIN, 1)).isNotNull();
    assertThat(choose(item(1, 100), 1)).isNull();
  }

  /** A zone that is slow to reach has long response times and free slots. */
  @Test
  void plainRequestLeavesAZoneThatIsSlowToReach() {
    for (long nowMs = 1; nowMs < 20_000; nowMs += 50) {
      overflow.onCompleted("s", near, 30, 1, nowMs);
    }
    for (long nowMs = 20_000; nowMs < 22_000; nowMs += 50) {
      overflow.onCompleted("s", near, 90, 1, nowMs);
    }

    assertThat(choose(PLAIN, 22_000).zone()).isNotEqualTo("near");
  }

  @ParameterizedTest
  @CsvSource({"2, 100000, ", "30, 100000, far", "2, 1100, far", "2, 500, "})
  void itemLeavesWhenItsBatchWouldBeLateOrManyWait(int waiting, long remainingMs, String zone) {
    assertThat(choose(item(waiting, remainingMs), 1)).as("a local slot is free").isEqualTo(near);
    fill(near, SLOTS);
    Endpoint chosen = choose(item(waiting, remainingMs), 1);

    assertThat(chosen == null ? null : chosen.zone()).isEqualTo(zone);
  }

  /** Guards against overloading a zone that serves its own callers. */
  @ParameterizedTest
  @CsvSource({"0, true", "5, true", "9, false", "10, false", "30, false"})
  void sendsOnlyToAZoneWithRoomBesideItsOwnCallers(int others, boolean sent) {
    fill(near, 30);
    tracker.onReport(far.id(), others, 0, 1_000);
    tracker.onReport(distant.id(), 10, 0, 1_000);

    assertThat(choose(PLAIN, 1_100).zone()).isEqualTo(sent ? "far" : "near");
  }

  /** A full zone is asked again, by one request, when its report is outdated. */
  @ParameterizedTest
  @CsvSource({"0, 0", "900, 0", "1100, 1", "2900, 1", "3100, 1"})
  void outdatedReportsAllowOneRequest(long ageMs, int expected) {
    fill(near, 60);
    tracker.onReport(far.id(), 10, 0, 1_000);
    tracker.onReport(distant.id(), 10, 0, 1_000 + ageMs);
    int sent = 0;
    for (int i = 0; i < 5; i++) {
      Endpoint chosen = choose(PLAIN, 1_000 + ageMs);
      tracker.onSent(chosen.id());
      sent += chosen.zone().equals("far") ? 1 : 0;
    }

    assertThat(sent).isEqualTo(expected);
  }

  /** Guards against many nodes that fill the room of a zone within one moment. */
  @Test
  void theNumberOfRequestsInOtherZonesRisesGradually() {
    fill(near, 20);
    tracker.onReport(distant.id(), 10, 0, 10_000);
    List<Integer> inFlight = new ArrayList<>();
    for (long nowMs = 10_000; nowMs <= 11_500; nowMs += 10) {
      tracker.onReport(far.id(), tracker.ownRequests(far.id()), 0, nowMs);
      tracker.onReport(distant.id(), 10, 0, nowMs);
      if (choose(PLAIN, nowMs).equals(far)) {
        tracker.onSent(far.id());
      }
      inFlight.add(tracker.ownRequests(far.id()));
    }

    assertThat(inFlight.get(1)).isEqualTo(1);
    assertThat(inFlight.get(12)).isBetween(4, 7);
    assertThat(inFlight.get(150)).as("10 slots without the reserve").isBetween(9, 10);
    overflow.onRefused(far, 11_500);
    for (int i = 0; i < 10; i++) {
      tracker.onEnded(far.id());
    }
    assertThat(choose(PLAIN, 11_500)).isEqualTo(far);
    tracker.onSent(far.id());
    assertThat(choose(PLAIN, 11_500)).as("after a refusal").isEqualTo(near);
  }

  @Test
  void reportsStartAndStopAndTheShareOfEachZone() {
    fill(near, 25);
    assertThat(choose(PLAIN, 1_000)).isEqualTo(far);
    assertThat(overflow.tick(1_100)).containsEntry("far", 0.5);
    assertThat(changes).containsExactly("PLAIN far");
    overflow.tick(1_400);
    assertThat(changes).as("within the hold time").hasSize(1);
    assertThat(overflow.tick(1_600).get("far")).isLessThan(0.2);
    assertThat(changes).containsExactly("PLAIN far", "PLAIN ");
  }

  /** A retry may go to any zone, because the endpoint that failed may stand for its zone. */
  @Test
  void otherSelectionsKeepTheRuleWithoutZones() {
    fill(near, 1);
    SlotPlacement placement = new SlotPlacement(tracker, overflow);

    assertThat(placement.chooseAny(all, 1)).isEqualTo(far);
    assertThat(placement.chooseFree(all, Set.of(), 1)).isEqualTo(far);
  }

  /** Without the setting, work is placed exactly as before, whatever its load, pace and kind. */
  @Test
  void withoutTermsTheZoneIsPreferredByAConstant() {
    SlotPlacement placement = new SlotPlacement(tracker, "near");
    Random random = new Random(7);
    for (long nowMs = 1; nowMs < 5_000; nowMs++) {
      Endpoint any = all.get(random.nextInt(all.size()));
      switch (random.nextInt(5)) {
        case 0 -> tracker.onSent(any.id());
        case 1 -> tracker.onEnded(any.id());
        case 2 -> tracker.onReport(any.id(), random.nextInt(SLOTS), random.nextInt(3), nowMs);
        case 3 -> tracker.onEvent(any.id(), 30 + random.nextInt(100), nowMs);
        default -> tracker.onRefused(any.id(), nowMs + random.nextInt(20));
      }
      Set<String> preferred = Set.of(all.get(random.nextInt(all.size())).id());
      assertThat(placement.choose(PLAIN, all, Set.of(), nowMs))
          .isEqualTo(placement.chooseAny(all, nowMs));
      assertThat(placement.choose(item(random.nextInt(50), 1), all, preferred, nowMs))
          .isEqualTo(placement.chooseFree(all, preferred, nowMs));
    }
  }

  @ParameterizedTest
  @CsvSource({"-1, 1", "NaN, 1", "1, 0", "1, -1", "1, NaN", "Infinity, 1"})
  void impossibleTermsAreRejected(double pricePerGb, double valuePerSecond) {
    assertThatThrownBy(() -> new ZoneTraffic(pricePerGb, valuePerSecond))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
