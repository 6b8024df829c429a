package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.sycamoretrack.core.version.routing.RouteKind;

/** Checks which requests a stopping node still sends to endpoints. */
class StopAdmissionTest {
  /** The durations of the latest requests are the given number of short ones, then a long one. */
  @ParameterizedTest(name = "{0}, limit {1} ms, {2} x {3} ms and {4} ms, {5} ms left: {6}")
  @CsvFileSource(resources = "stop-admissions.csv", numLinesToSkip = 1)
  void admitsOnlyWhatEndsWithinTheGracePeriod(
      RouteKind kind,
      long limitMs,
      int shortCount,
      long shortMs,
      Long longMs,
      long remainingMs,
      boolean admitted) {
    ServiceTimes times = new ServiceTimes();
    LongStream.generate(() -> shortMs).limit(shortCount).forEach(times::add);
    if (longMs != null) {
      times.add(longMs);
    }

    assertThat(StopAdmission.admits(kind, limitMs, times, remainingMs)).isEqualTo(admitted);
  }

  @Test
  void keepsTheLatestDurationsOnly() {
    ServiceTimes times = new ServiceTimes();
    times.add(9_000);
    LongStream.rangeClosed(1, 1_000).forEach(times::add);

    assertThat(times.quantileMs(1)).isEqualTo(1_000);
    assertThat(times.quantileMs(0.5)).isEqualTo(968);
    assertThat(times.quantileMs(0)).isEqualTo(937);
  }
}
