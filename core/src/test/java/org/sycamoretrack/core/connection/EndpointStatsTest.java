package org.sycamoretrack.core.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.core.connection.EjectionState.EJECTED;
import static org.sycamoretrack.core.connection.EjectionState.IN_USE;
import static org.sycamoretrack.core.connection.EjectionState.PROBE_DUE;
import static org.sycamoretrack.core.connection.EjectionState.PROBING;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link EndpointStats}. */
class EndpointStatsTest {
  private static final double MEDIAN_MS = 20;

  private final EndpointStats stats = new EndpointStats();
  private long nowMs = 10_000;

  private void runRequest(int count, double msPerToken) {
    stats.onStart(nowMs);
    stats.onFirstToken(nowMs, 40);
    for (int i = 0; i < count; i++) {
      nowMs += (long) msPerToken;
      stats.onTokens(nowMs, msPerToken, 1);
    }
    stats.update(nowMs, MEDIAN_MS);
    stats.onSuccess();
  }

  @ParameterizedTest
  @CsvSource({"20, IN_USE", "45, IN_USE", "60, EJECTED", "100, EJECTED"})
  void ejectsEndpointsMuchSlowerThanThePool(double msPerToken, EjectionState expected) {
    runRequest(50, msPerToken);
    assertThat(stats.ejection()).isEqualTo(expected);
  }

  @Test
  void ejectionTimeDoublesUntilAProbeIsFast() {
    runRequest(50, 100);
    long ejectionMs = 1_000;
    for (int i = 0; i < 3; i++) {
      nowMs += ejectionMs - 1;
      stats.update(nowMs, MEDIAN_MS);
      assertThat(stats.ejection()).isEqualTo(EJECTED);
      nowMs += 1;
      stats.update(nowMs, MEDIAN_MS);
      assertThat(stats.ejection()).isEqualTo(PROBE_DUE);
      stats.onStart(nowMs);
      assertThat(stats.ejection()).isEqualTo(PROBING);
      stats.onTokens(nowMs, 90, 1);
      stats.update(nowMs, MEDIAN_MS);
      assertThat(stats.ejection()).isEqualTo(EJECTED);
      stats.onSuccess();
      ejectionMs *= 2;
    }
    nowMs += ejectionMs;
    stats.update(nowMs, MEDIAN_MS);
    runRequest(5, 22);
    assertThat(stats.ejection()).isEqualTo(IN_USE);
  }

  @Test
  void fastRunningRequestsEndAnEjection() {
    runRequest(50, 100);
    stats.onStart(nowMs);
    for (int i = 0; i < 20; i++) {
      stats.onTokens(nowMs, 20, 1);
    }
    stats.update(nowMs, MEDIAN_MS);
    assertThat(stats.ejection()).isEqualTo(IN_USE);
  }

  @Test
  void cancelledProbeIsDueAgain() {
    runRequest(50, 100);
    nowMs += 1_000;
    stats.update(nowMs, MEDIAN_MS);
    stats.onStart(nowMs);
    stats.onCancelled();
    assertThat(stats.ejection()).isEqualTo(PROBE_DUE);
  }

  @Test
  void consecutiveFailuresEjectAndASuccessResetsTheCount() {
    for (int i = 0; i < 2; i++) {
      stats.onStart(nowMs);
      stats.onFailure(nowMs);
    }
    stats.onStart(nowMs);
    stats.onSuccess();
    stats.onStart(nowMs);
    stats.onFailure(nowMs);
    assertThat(stats.ejection()).isEqualTo(IN_USE);
    for (int i = 0; i < 2; i++) {
      stats.onStart(nowMs);
      stats.onFailure(nowMs);
    }
    assertThat(stats.ejection()).isEqualTo(EJECTED);
    assertThat(stats.failures()).isEqualTo(5);
    assertThat(stats.inFlight()).isZero();
  }

  @Test
  void silenceBeyondTheUsualChunkIntervalCountsAsSlowdown() {
    runRequest(50, 20);
    stats.onStart(nowMs);
    assertThat(stats.timePerTokenMs(nowMs + 40)).isEqualTo(20);
    stats.onFirstToken(nowMs, 40);
    assertThat(stats.timePerTokenMs(nowMs + 20)).isEqualTo(20);
    assertThat(stats.timePerTokenMs(nowMs + 500)).isEqualTo(500);
    stats.update(nowMs + 500, MEDIAN_MS);
    assertThat(stats.ejection()).isEqualTo(EJECTED);
  }

  @Test
  void medianCoversEndpointsInUseWithRunningRequests() {
    assertThat(
            EndpointStats.medianTimePerTokenMs(
                List.of(
                    view(20, 3, IN_USE),
                    view(30, 3, IN_USE),
                    view(40, 3, IN_USE),
                    view(1, 0, IN_USE),
                    view(100, 3, EJECTED),
                    view(100, 3, PROBE_DUE))))
        .isEqualTo(30);
    assertThat(EndpointStats.medianTimePerTokenMs(List.of())).isZero();
  }

  private static EndpointView view(double timePerTokenMs, int inFlight, EjectionState ejection) {
    return EndpointView.builder("e", "svea-a")
        .timePerTokenMs(timePerTokenMs)
        .inFlight(inFlight)
        .ejection(ejection)
        .build();
  }

  @Test
  void longChunkIntervalsAreNotSilence() {
    stats.onStart(nowMs);
    for (int i = 0; i < 50; i++) {
      nowMs += 320;
      stats.onTokens(nowMs, 320, 16);
    }
    assertThat(stats.timePerTokenMs(nowMs + 320)).isBetween(19.99, 20.01);
  }
}
