package org.sycamoretrack.core.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link LongPollWait}. */
class LongPollWaitTest {
  private static final double READS_PER_SECOND = 2_000;
  private static final double MS_PER_SECOND = 1_000;

  @ParameterizedTest(name = "{0} nodes, {1} tables: {2} ms")
  @CsvSource({
    "0, 3, 400",
    "1, 3, 400",
    "12, 3, 400",
    "90, 3, 400",
    "160, 3, 400",
    "200, 3, 500",
    "350, 3, 875",
    "1000, 3, 900"
  })
  void waitGrowsWithTheNumberOfNodes(int nodes, int tables, long waitMs) {
    assertThat(LongPollWait.waitMs(nodes, tables)).isEqualTo(waitMs);
  }

  /**
   * Guards against polls that use up the read limit of the store in deployments of up to 350 nodes.
   */
  @ParameterizedTest
  @CsvSource({"12", "90", "160", "260", "350"})
  void pollRateStaysWithinTheReadLimitOfTheStore(int nodes) {
    double polls = nodes * 3 * MS_PER_SECOND / LongPollWait.waitMs(nodes, 3);

    assertThat(polls).isLessThan(0.7 * READS_PER_SECOND);
  }
}
