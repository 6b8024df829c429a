package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link SuspendAwareStopwatch}. */
class SuspendAwareStopwatchTest {
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "both clocks advance, 1500, 51500, 500",
    "suspended for 4 s, 1100, 55100, 4100",
    "wall clock set back, 1500, 40000, 500",
    "wall clock set forward, 1100, 53100, 2100"
  })
  void usesTheClockThatAdvancedFurther(
      String description, long monotonicMs, long wallClockMs, long expectedMs) {
    SuspendAwareStopwatch stopwatch = new SuspendAwareStopwatch();
    stopwatch.start(1_000, 51_000);

    assertThat(stopwatch.elapsedMs(monotonicMs, wallClockMs)).as(description).isEqualTo(expectedMs);
  }
}
