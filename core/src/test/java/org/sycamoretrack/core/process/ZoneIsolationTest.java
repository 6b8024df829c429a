package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ZoneIsolation}. */
class ZoneIsolationTest {
  private final ZoneIsolation isolation = new ZoneIsolation();

  @ParameterizedTest(name = "store {0}, other zones {1}, reachable {2}: {3}")
  @CsvSource({
    "true, true, true, false",
    "true, true, false, false",
    "false, true, true, false",
    "false, false, false, false",
    "false, true, false, true"
  })
  void needsBothTheStoreAndTheOtherZonesToBeUnreachable(
      boolean store, boolean otherZones, boolean reachable, boolean expected) {
    isolation.update(store, otherZones, reachable, 0);
    isolation.update(store, otherZones, reachable, 2_000);

    assertThat(isolation.isIsolated()).isEqualTo(expected);
  }

  @Test
  void isConfirmedAfterTheTimeThatConnectionsTakeAndEndsAtOnce() {
    assertThat(isolation.update(false, true, false, 1_000)).isFalse();
    assertThat(isolation.update(false, true, false, 1_599)).isFalse();
    assertThat(isolation.update(false, true, false, 1_600)).isTrue();
    assertThat(isolation.isIsolated()).isTrue();
    assertThat(isolation.update(false, false, false, 3_000))
        .as("peers that are no longer listed are no evidence of an end")
        .isFalse();
    assertThat(isolation.update(true, true, false, 3_100)).isTrue();
    assertThat(isolation.isIsolated()).isFalse();
  }

  @Test
  void aShortInterruptionDoesNotCount() {
    isolation.update(false, true, false, 0);
    isolation.update(true, true, true, 500);
    isolation.update(false, true, false, 700);

    assertThat(isolation.update(false, true, false, 1_200)).isFalse();
  }
}
