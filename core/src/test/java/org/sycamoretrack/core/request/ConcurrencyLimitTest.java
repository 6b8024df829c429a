package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of {@link ConcurrencyLimit} and its implementations. */
class ConcurrencyLimitTest {
  private static final LimitSettings SETTINGS = new LimitSettings(4, 2, 200, 1.5);
  private static final double BASE_NS = 20_000_000;

  static Stream<ConcurrencyLimit> limits() {
    return Stream.of(ConcurrencyLimit.aimd(SETTINGS), ConcurrencyLimit.gradient(SETTINGS));
  }

  /** Keeps the endpoint saturated; a token takes {@code base * (1 + inFlight / knee)}. */
  private static void run(ConcurrencyLimit limit, int requests, double baseNs, double knee) {
    for (int i = 0; i < requests; i++) {
      while (limit.inFlight() < limit.limit()) {
        limit.onStart();
      }
      double nsPerToken = baseNs * (1 + limit.inFlight() / knee);
      limit.onSuccess((long) (nsPerToken * 100), 100);
    }
  }

  @ParameterizedTest
  @MethodSource("limits")
  void convergesToTheToleratedSlowdown(ConcurrencyLimit limit) {
    run(limit, 20_000, BASE_NS, 40);
    // The baseline, at 2 requests in flight, is 1.05 base; 1.5 times that is reached at 23.
    assertThat(limit.limit()).isBetween(15, 40);
  }

  @ParameterizedTest
  @MethodSource("limits")
  void doesNotGrowWhileUnderused(ConcurrencyLimit limit) {
    for (int i = 0; i < 1_000; i++) {
      limit.onStart();
      limit.onSuccess((long) BASE_NS, 1);
    }
    assertThat(limit.limit()).isLessThan(8);
  }

  @ParameterizedTest
  @MethodSource("limits")
  void growsWhenTheReserveKeepsRolloutWorkBelowTheLimit(ConcurrencyLimit limit) {
    AdmissionQueue<Object> queue = AdmissionQueue.builder().build();
    while (limit.limit() > SETTINGS.min()) {
      limit.onStart();
      limit.onDropped();
    }
    for (int i = 0; i < 5_000; i++) {
      int usable = Math.max(1, limit.limit() - queue.reservedSlots(limit.limit()));
      while (limit.inFlight() < usable) {
        limit.onStart();
      }
      limit.onSuccess((long) (BASE_NS * 10), 10);
    }
    assertThat(limit.limit()).isGreaterThan(50);
  }

  @ParameterizedTest
  @MethodSource("limits")
  void fallsDuringASlowdownAndRecovers(ConcurrencyLimit limit) {
    run(limit, 20_000, BASE_NS, 40);
    int before = limit.limit();
    run(limit, 300, 5 * BASE_NS, 40);
    assertThat(limit.limit()).isLessThan(before * 2 / 3);
    run(limit, 20_000, BASE_NS, 40);
    assertThat(limit.limit()).isBetween(before * 2 / 3, before * 3 / 2);
  }

  @ParameterizedTest
  @MethodSource("limits")
  void remeasuresTheBaselineAfterALastingSlowdown(ConcurrencyLimit limit) {
    run(limit, 5_000, BASE_NS, 40);
    run(limit, 20_000, 5 * BASE_NS, 40);
    assertThat(limit.limit()).isGreaterThan(10);
  }

  @ParameterizedTest
  @MethodSource("limits")
  void fallsWhenRequestsAreDroppedButNotBelowTheMinimum(ConcurrencyLimit limit) {
    for (int i = 0; i < 100; i++) {
      limit.onStart();
      limit.onDropped();
    }
    assertThat(limit.limit()).isEqualTo(2);
    assertThat(limit.inFlight()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"0, 0, 5, 1.5", "3, 4, 5, 1.5", "6, 1, 5, 1.5", "3, 1, 5, 1.0"})
  void rejectsInconsistentSettings(int initial, int min, int max, double tolerance) {
    assertThatThrownBy(() -> new LimitSettings(initial, min, max, tolerance))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
