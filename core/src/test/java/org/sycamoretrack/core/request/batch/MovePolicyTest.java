package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.batch.MovePolicy.FreeSlots;
import org.sycamoretrack.core.request.batch.MovePolicy.Run;

/** Tests of {@link MovePolicy}. */
class MovePolicyTest {
  /** Three runs: a short one and a long one on a slow endpoint, and one on an ordinary one. */
  private static List<Run> runs(double slowness, long runMs) {
    return List.of(
        new Run(1, slowness, runMs, 100),
        new Run(2, slowness, runMs, 900),
        new Run(3, 1.0, runMs, 5_000));
  }

  @ParameterizedTest(name = "{0} times slower after {1} ms, {2} free at {3}, {4} waiting: {5}")
  @CsvSource({
    "3.2, 500, 4, 1.0, 0, '2 1'",
    "3.2, 500, 1, 1.0, 0, '2'",
    "3.2, 500, 4, 1.0, 3, '2'",
    "3.2, 500, 4, 1.0, 4, ''",
    "3.2, 500, 4, 1.0, 9, ''",
    "3.2, 299, 4, 1.0, 0, ''",
    "1.9, 500, 4, 1.0, 0, ''",
    "3.2, 500, 4, 1.5, 0, ''",
    "3.2, 500, 0, 1.0, 0, ''"
  })
  void movesTheLongestToSlotsThatNobodyWaitsFor(
      double slowness, long runMs, int free, double freeSlowness, int waiting, String expected) {
    List<Integer> moves =
        new MovePolicy()
            .moves(runs(slowness, runMs), List.of(new FreeSlots(free, freeSlowness)), waiting);

    assertThat(String.join(" ", moves.stream().map(String::valueOf).toList())).isEqualTo(expected);
  }
}
