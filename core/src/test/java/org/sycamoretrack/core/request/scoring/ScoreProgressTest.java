package org.sycamoretrack.core.request.scoring;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link ScoreProgress} and {@link ScoreOrder}. */
class ScoreProgressTest {
  private static final int MAX_FAILURES = 3;

  private static ScoreOutcome outcome(char code) {
    return switch (code) {
      case 'S' -> new ScoreOutcome.Scored("score");
      case 'F' -> new ScoreOutcome.Failed("status 500");
      case 'N' -> new ScoreOutcome.NotRun("full");
      default -> new ScoreOutcome.Lost("reset");
    };
  }

  private static ScoreDecision play(ScoreProgress progress, String outcomes) {
    ScoreDecision decision = null;
    long nowMs = 0;
    for (int i = 0; i < outcomes.length(); i++) {
      assertThat(progress.isWaiting(nowMs)).isTrue();
      progress.onSent();
      assertThat(progress.isWaiting(nowMs)).as("one call at a time").isFalse();
      decision = progress.onOutcome(outcome(outcomes.charAt(i)), MAX_FAILURES, nowMs);
      if (decision instanceof ScoreDecision.Retry retry) {
        assertThat(progress.isWaiting(retry.atMs() - 1)).isFalse();
        nowMs = retry.atMs();
      }
    }
    return decision;
  }

  /** S: scored, F: the service failed, N: not run, L: lost. */
  @ParameterizedTest
  @CsvSource({
    "S, Accept",
    "FFS, Accept",
    "NNNNNNS, Accept",
    "LLLLLLS, Accept",
    "F, Retry",
    "FF, Retry",
    "FNLF, Retry",
    "LLLLLL, Retry",
    "NNNNNN, Retry",
    "FFF, Abandon",
    "FNFLF, Abandon"
  })
  void onlyReportedFailuresCountTowardsTheLimit(String outcomes, String expected) {
    ScoreDecision decision = play(new ScoreProgress(0), outcomes);

    assertThat(decision.getClass().getSimpleName()).isEqualTo(expected);
  }

  @Test
  void aTextThatAlwaysFailsIsAbandonedWithinHalfASecond() {
    ScoreProgress progress = new ScoreProgress(0);

    ScoreDecision.Retry last = (ScoreDecision.Retry) play(progress, "FF");

    assertThat(last.atMs()).isLessThan(500);
  }

  @ParameterizedTest
  @CsvSource({"N, 1000", "F, 1000", "L, 2000", "LL, 4000", "LLL, 8000", "LLLLLLLLLLLLLL, 8000"})
  void onlyLostCallsRaiseTheTimeLimit(String outcomes, long timeoutMs) {
    ScoreProgress progress = new ScoreProgress(0);
    play(progress, outcomes);

    assertThat(progress.timeoutMs()).isEqualTo(timeoutMs);
  }

  @Test
  void firstCallsGoFirstThenTheGroupNearestToWhole() {
    ScoreProgress failedOnce = new ScoreProgress(0);
    failedOnce.onSent();
    failedOnce.onOutcome(outcome('F'), MAX_FAILURES, 0);
    List<ScoreOrder.Candidate<String>> candidates = new ArrayList<>();
    candidates.add(new ScoreOrder.Candidate<>("failed once", failedOnce, 1));
    candidates.add(new ScoreOrder.Candidate<>("far from whole", new ScoreProgress(0), 7));
    candidates.add(new ScoreOrder.Candidate<>("newer", new ScoreProgress(20), 2));
    candidates.add(new ScoreOrder.Candidate<>("older", new ScoreProgress(10), 2));

    assertThat(ScoreOrder.sort(candidates, 100))
        .containsExactly("older", "newer", "far from whole", "failed once");
  }
}
