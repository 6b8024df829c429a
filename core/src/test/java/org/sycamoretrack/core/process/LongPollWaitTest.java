package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link LongPollWait}. */
class LongPollWaitTest {
  private static final double READS_PER_SECOND = 2_000;
  private static final double MS_PER_SECOND = 1_000;

  @ParameterizedTest(name = "{0} nodes, {1} tables, {2} ms for a drain: {3} ms")
  @CsvSource({
    "0, 3, 2000, 400",
    "1, 3, 2000, 400",
    "12, 3, 2000, 400",
    "90, 3, 2000, 400",
    "160, 3, 2000, 400",
    "200, 3, 2000, 500",
    "350, 3, 2000, 875",
    "1000, 3, 2000, 900",
    "12, 3, 0, 400",
    "12, 3, 2500, 500",
    "69, 3, 3000, 600",
    "95, 3, 4000, 600",
    "350, 3, 3000, 875"
  })
  void waitGrowsWithTheNumberOfNodesAndTheTimeForADrain(
      int nodes, int tables, long drainMs, long waitMs) {
    assertThat(LongPollWait.waitMs(nodes, tables, drainMs)).isEqualTo(waitMs);
  }

  /**
   * Guards against polls that use up the read limit of the store in deployments of up to 350 nodes.
   */
  @ParameterizedTest
  @CsvSource({"12", "90", "160", "260", "350"})
  void pollRateStaysWithinTheReadLimitOfTheStore(int nodes) {
    double polls =
        nodes * 3 * MS_PER_SECOND / LongPollWait.waitMs(nodes, 3, LongPollWait.MIN_DRAIN_MS);

    assertThat(polls).isLessThan(0.7 * READS_PER_SECOND);
  }
}
