package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the true time follows the reference, whatever the wall clock of the host says. */
class ReferenceClockTest {
  /** The true time at the monotonic time 0. */
  private static final long EPOCH_MS = 1_767_225_600_000L;

  private final ReferenceClock clock = new ReferenceClock();

  @ParameterizedTest
  @ValueSource(longs = {-4_000, 4_000, 86_400_000})
  void wrongWallClockHasNoEffectBesideTheReference(long skewMs) {
    clock.onWallClock(EPOCH_MS + skewMs, 0);
    clock.onReference(EPOCH_MS + 1_005, 1_000, 1_010);

    assertThat(clock.timeMs(5_000)).isBetween(EPOCH_MS + 4_995, EPOCH_MS + 5_006);
    assertThat(clock.isReferenceKnown()).isTrue();
  }

  /** Guards against an estimate that a slow response makes worse. */
  @Test
  void slowResponseDoesNotWidenTheBounds() {
    clock.onReference(EPOCH_MS + 1_001, 1_000, 1_002);
    clock.onReference(EPOCH_MS + 1_150, 1_100, 2_000);

    assertThat(clock.timeMs(2_000)).isBetween(EPOCH_MS + 1_998, EPOCH_MS + 2_002);
  }

  /** The monotonic clock stops while the host is suspended, here for a minute. */
  @Test
  void responseAfterASuspensionReplacesTheEstimate() {
    clock.onReference(EPOCH_MS + 1_001, 1_000, 1_002);
    clock.onReference(EPOCH_MS + 62_001, 2_000, 2_002);

    assertThat(clock.timeMs(3_000)).isBetween(EPOCH_MS + 62_998, EPOCH_MS + 63_002);
  }

  /** A reference that counts from its start doesn't tell the time since the epoch. */
  @Test
  void stepOfTheWallClockHasNoEffectWithoutAReference() {
    for (int second = 0; second < 120; second++) {
      long skewMs = second >= 100 && second < 106 ? 4_000 : 0;
      clock.onWallClock(EPOCH_MS + second * 1_000L + skewMs, second * 1_000L);
      clock.onReference(second * 1_000L, second * 1_000L, second * 1_000L + 2);

      assertThat(clock.timeMs(second * 1_000L)).isEqualTo(EPOCH_MS + second * 1_000L);
    }
    assertThat(clock.isReferenceKnown()).isFalse();
  }
}
