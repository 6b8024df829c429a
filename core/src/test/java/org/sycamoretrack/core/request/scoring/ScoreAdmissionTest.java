package org.sycamoretrack.core.request.scoring;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.version.fleet.Endpoint;

/** Tests of {@link ScoreAdmission}. */
class ScoreAdmissionTest {
  private static final long NOW_MS = 1;

  private final SlotTracker tracker = new SlotTracker();
  private final ScoreAdmission admission =
      new ScoreAdmission(tracker, new SlotPlacement(tracker, "a"));

  private static Endpoint endpoint(String id, int slots) {
    return new Endpoint(id, "s", new InetSocketAddress(1), "a", slots, false, 0, Map.of());
  }

  /** Sends as many calls as are admitted and returns their number. */
  private int admitted(List<Endpoint> endpoints, long waitedMs) {
    int count = 0;
    Endpoint chosen = admission.choose(endpoints, Set.of(), waitedMs, NOW_MS);
    while (chosen != null) {
      admission.onSent(chosen.id());
      count++;
      chosen = admission.choose(endpoints, Set.of(), waitedMs, NOW_MS);
    }
    return count;
  }

  @ParameterizedTest(name = "{0} slots, {1} in use by others, waited {2} ms")
  @CsvSource({
    "6, 0, 0, 3",
    "6, 2, 0, 2",
    "6, 3, 0, 1",
    "6, 4, 0, 0",
    "6, 4, 999, 0",
    "6, 4, 1000, 2",
    "6, 6, 1000, 0",
    "1, 0, 0, 1",
    "1, 1, 5000, 0",
    "12, 0, 0, 6"
  })
  void keepsSlotsForPlainRequests(int slots, int usedByOthers, long waitedMs, int expected) {
    tracker.onReport("e", usedByOthers, 0, NOW_MS);

    assertThat(admitted(List.of(endpoint("e", slots)), waitedMs)).isEqualTo(expected);
  }

  @Test
  void usesAnotherEndpointAfterAnUnsuccessfulCall() {
    List<Endpoint> both = List.of(endpoint("e1", 6), endpoint("e2", 6));

    assertThat(admission.choose(both, Set.of("e1"), 0, NOW_MS).id()).isEqualTo("e2");
    assertThat(admission.choose(both.subList(0, 1), Set.of("e1"), 0, NOW_MS).id()).isEqualTo("e1");
  }

  @Test
  void endedCallFreesItsSlot() {
    List<Endpoint> one = List.of(endpoint("e", 2));
    assertThat(admitted(one, 0)).isEqualTo(1);

    admission.onEnded("e");

    assertThat(admitted(one, 0)).isEqualTo(1);
  }
}
