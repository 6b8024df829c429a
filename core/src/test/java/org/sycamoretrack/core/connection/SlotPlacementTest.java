package org.sycamoretrack.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.version.fleet.Endpoint;

/** Tests of {@link SlotPlacement} and {@link SlotTracker}. */
class SlotPlacementTest {
  private final SlotTracker tracker = new SlotTracker();
  private final SlotPlacement placement = new SlotPlacement(tracker, "near");

  private static Endpoint endpoint(String id, String zone) {
    return new Endpoint(id, "s", new InetSocketAddress(1), zone, 4, false, 0, Map.of());
  }

  private final Endpoint near = endpoint("near-1", "near");
  private final Endpoint far = endpoint("far-1", "far");
  private final List<Endpoint> both = List.of(far, near);

  private void fill(Endpoint endpoint, int requests) {
    for (int i = 0; i < requests; i++) {
      tracker.onSent(endpoint.id());
    }
  }

  @Test
  void prefersTheLocalZoneUntilItHasOneMoreSlotInUse() {
    assertThat(placement.chooseFree(both, Set.of(), 0)).isEqualTo(near);
    fill(near, 1);
    assertThat(placement.chooseFree(both, Set.of(), 0)).isEqualTo(far);
  }

  @Test
  void neverFillsAnEndpointBeyondItsSlots() {
    fill(near, 4);
    fill(far, 4);
    assertThat(placement.chooseFree(both, Set.of(), 0)).isNull();
    assertThat(placement.chooseAny(both, 0)).isEqualTo(near);
    tracker.onEnded(far.id());
    assertThat(placement.chooseFree(both, Set.of(), 0)).isEqualTo(far);
  }

  @Test
  void countsTheLoadOfOtherNodesWhileTheReportIsFresh() {
    tracker.onReport(near.id(), 4, 0, 1_000);
    assertThat(placement.chooseFree(List.of(near), Set.of(), 1_500)).isNull();
    assertThat(placement.chooseFree(List.of(near), Set.of(), 2_001)).isEqualTo(near);
  }

  @Test
  void ownRequestsAreNotCountedTwice() {
    fill(near, 3);
    tracker.onReport(near.id(), 3, 0, 1_000);
    assertThat(tracker.load(near.id(), 1_000)).isEqualTo(3);
  }

  @Test
  void keepsAGroupTogetherUnlessThatCostsTooMuch() {
    fill(far, 1);
    Endpoint other = endpoint("far-2", "far");
    List<Endpoint> remote = List.of(far, other);
    assertThat(placement.chooseFree(remote, Set.of(far.id()), 0)).isEqualTo(other);
    tracker.onEnded(far.id());
    assertThat(placement.chooseFree(remote, Set.of(other.id()), 0)).isEqualTo(other);
  }

  /** An item that was moved away from a slow endpoint must not be sent there again. */
  @ParameterizedTest
  @CsvSource({"40, true", "60, true", "90, false", "200, false"})
  void keepsAGroupTogetherOnlyAtAnEndpointThatIsNotSlow(double intervalMs, boolean kept) {
    Endpoint shared =
        new Endpoint("a", "s", new InetSocketAddress(1), "near", 12, false, 0, Map.of());
    Endpoint idle =
        new Endpoint("b", "s", new InetSocketAddress(1), "near", 12, false, 0, Map.of());
    for (long nowMs = 0; nowMs <= 3_000; nowMs += 10) {
      tracker.onEvent(idle.id(), 40, nowMs);
      tracker.onEvent("c", 40, nowMs);
      tracker.onEvent(shared.id(), intervalMs, nowMs);
    }

    assertThat(placement.chooseFree(List.of(shared, idle), Set.of(shared.id()), 3_000))
        .isEqualTo(kept ? shared : idle);
  }

  @Test
  void avoidsAnEndpointForAPauseAfterARefusal() {
    tracker.onRefused(near.id(), 500);
    assertThat(placement.chooseFree(both, Set.of(), 499)).isEqualTo(far);
    assertThat(placement.chooseFree(both, Set.of(), 500)).isEqualTo(near);
  }

  /** Guards against an endpoint that fails at once, always has free slots and so gets all work. */
  @Test
  void anEndpointThatFailsFastDoesNotAttractAllWork() {
    int[] sent = new int[2];
    for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
      Endpoint chosen = placement.chooseFree(both, Set.of(), nowMs);
      if (chosen.equals(near)) {
        sent[0]++;
        tracker.onFailed(near.id(), nowMs);
      } else {
        sent[1]++;
        tracker.onFinished(far.id());
      }
    }
    assertThat(sent[0]).isLessThan(15);
    assertThat(sent[1]).isGreaterThan(900);
  }

  /** A brief slowdown, as caused by noisy neighbours, must not count; a lasting one must soon. */
  @ParameterizedTest
  @CsvSource({"300, false", "500, false", "900, true", "3000, true"})
  void distinguishesLastingFromBriefSlowdown(long slowForMs, boolean seenSlow) {
    for (long nowMs = 1_000; nowMs <= 2_000 + slowForMs; nowMs += 40) {
      tracker.onEvent(far.id(), 40, nowMs);
      tracker.onEvent("far-2", 40, nowMs);
      tracker.onEvent(near.id(), nowMs < 2_000 ? 40 : 100, nowMs);
    }
    long endMs = 2_000 + slowForMs;

    assertThat(tracker.slowdown(near.id(), endMs) >= 2).isEqualTo(seenSlow);
  }

  @Test
  void avoidsAnEndpointThatHasBecomeSlow() {
    Endpoint third = endpoint("far-2", "far");
    for (int i = 0; i < 20; i++) {
      tracker.onEvent(near.id(), 160, 1_000);
      tracker.onEvent(far.id(), 40, 1_000);
      tracker.onEvent(third.id(), 40, 1_000);
    }
    fill(far, 1);
    fill(third, 1);
    assertThat(tracker.slowdown(near.id(), 1_000)).isEqualTo(4);
    assertThat(placement.chooseFree(List.of(near, far, third), Set.of(), 1_000)).isEqualTo(far);
    assertThat(tracker.slowdown(near.id(), 5_000))
        .as("after some time without events")
        .isEqualTo(1);
  }
}
