package org.sycamoretrack.core.request.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.batch.BatchMovePolicy.FreeSlots;
import org.sycamoretrack.core.request.batch.BatchMovePolicy.Run;

/** Tests of {@link BatchMovePolicy}. */
class BatchMovePolicyTest {
  /** A short and a long run on a slow endpoint, and a run on an endpoint of normal speed. */
  private static List<Run> runs(double slowdown, long runMs) {
    return List.of(
        new Run(1, slowdown, slowdown, runMs, 100),
        new Run(2, slowdown, slowdown, runMs, 900),
        new Run(3, 1.0, 1.0, runMs, 5_000));
  }

  @ParameterizedTest(
      name = "slowdown {0} after {1} ms, {2} free slots with slowdown {3}, {4} waiting: {5}")
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
  void movesLongestRunsToSlotsNotNeededByWaitingItems(
      double slowdown, long runMs, int free, double freeSlowdown, int waiting, String expected) {
    List<Integer> moves =
        new BatchMovePolicy()
            .selectMoves(
                runs(slowdown, runMs), List.of(new FreeSlots(free, freeSlowdown)), waiting);

    assertThat(String.join(" ", moves.stream().map(String::valueOf).toList())).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"2.5, 5000, true", "1.8, 1400, true", "1.7, 5000, false", "2.5, 1399, false"})
  void longRunMovesOnATransientSlowdown(
      double currentSlowdown, int remainingTokens, boolean moves) {
    List<Run> runs = List.of(new Run(1, 1.1, currentSlowdown, 500, remainingTokens));

    assertThat(new BatchMovePolicy().selectMoves(runs, List.of(new FreeSlots(4, 1.0)), 0))
        .hasSize(moves ? 1 : 0);
  }

  /**
   * Guards against moves that cost more than they save. Texts of 7 s run on endpoints that are 2.5
   * times slower in 15 of 100 intervals of 0.6 s. Without moves a text takes 7 s / (0.85 + 0.15 /
   * 2.5) = 7.7 s. A move costs 40 ms and a slowdown is detected after 120 ms; moves recover at
   * least half of the difference.
   */
  @Test
  void movesRecoverHalfOfTheTimeLostToTransientSlowdowns() {
    Random random = new Random(7);
    double withoutMovesMs = 0;
    double withMovesMs = 0;
    int texts = 200;
    for (int i = 0; i < texts; i++) {
      withoutMovesMs += textMs(random, false);
      withMovesMs += textMs(random, true);
    }

    assertThat(withoutMovesMs / texts).isBetween(7_600.0, 7_800.0);
    assertThat(withMovesMs / texts).isLessThan(7_000 + (withoutMovesMs / texts - 7_000) / 2);
  }

  private static double textMs(Random random, boolean moving) {
    BatchMovePolicy policy = new BatchMovePolicy();
    double workMs = 7_000;
    double elapsedMs = 0;
    long runMs = 0;
    double intervalEndMs = 0;
    double slowSinceMs = 0;
    boolean slow = false;
    while (workMs > 0) {
      if (elapsedMs >= intervalEndMs) {
        slow = random.nextInt(100) < 15;
        slowSinceMs = elapsedMs;
        intervalEndMs = elapsedMs + 600;
      }
      elapsedMs += 10;
      runMs += 10;
      workMs -= slow ? 4 : 10;
      double currentSlowdown = slow && elapsedMs - slowSinceMs >= 120 ? 2.5 : 1;
      int remainingTokens = (int) (workMs / 0.7);
      Run run = new Run(1, 1.2, currentSlowdown, runMs, remainingTokens);
      boolean moves = !policy.selectMoves(List.of(run), List.of(new FreeSlots(1, 1)), 0).isEmpty();
      if (moving && moves) {
        elapsedMs += 40;
        runMs = 0;
        slow = random.nextInt(100) < 15;
        slowSinceMs = elapsedMs;
      }
    }
    return elapsedMs;
  }
}
