package org.sycamoretrack.bench.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.bench.connection.EngineProfile;
import org.sycamoretrack.core.request.StragglerPolicy;

/**
 * Tests that moving samples keeps their length distribution. A move that generates a sample again
 * and keeps the shorter one would bias training towards short samples.
 */
class StepSimulationTest {
  private static final int SLOTS = 128;
  private static final int SEEDS = 40;
  private static final double MEAN_SLOWDOWN_GAP_MS = 8_000;

  /** Three standard errors of the difference of two means of log lengths (deviation 0.8). */
  private static final double TOLERANCE = 3 * 0.8 * Math.sqrt(2.0 / (SLOTS * SEEDS));

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void sameSeedAndWeightsGiveTheSameLengthsWithMoves(long seed) {
    StepSimulation without = new StepSimulation(seed, SLOTS, MEAN_SLOWDOWN_GAP_MS, null).run();
    StepSimulation with =
        new StepSimulation(seed, SLOTS, MEAN_SLOWDOWN_GAP_MS, new StragglerPolicy()).run();
    assertThat(with.moves()).isPositive();
    assertThat(with.sampleLengths()).isEqualTo(without.sampleLengths());
  }

  @Test
  void engineThatContinuesWithOtherTokensKeepsTheDistribution() {
    double without = 0;
    double with = 0;
    int moves = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      StepSimulation run =
          new StepSimulation(seed, SLOTS, MEAN_SLOWDOWN_GAP_MS, new StragglerPolicy())
              .redrawAfterMoves(new SplittableRandom(seed))
              .run();
      moves += run.moves();
      for (int slot = 0; slot < SLOTS; slot++) {
        without += Math.log(Workload.sampleTokens(seed, slot));
        with += Math.log(run.sampleLengths()[slot]);
      }
    }
    assertThat(moves).isGreaterThan(SEEDS * SLOTS / 4);
    assertThat((with - without) / (SEEDS * SLOTS)).isBetween(-TOLERANCE, TOLERANCE);
  }

  /**
   * Checks that the comparison detects the bias of sampling again and keeping the first to finish.
   */
  @Test
  void comparisonDetectsBiasOfKeepingTheShorterOfTwoSamples() {
    double difference = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      StepSimulation run =
          new StepSimulation(seed, SLOTS, MEAN_SLOWDOWN_GAP_MS, new StragglerPolicy()).run();
      SplittableRandom random = new SplittableRandom(seed);
      for (int slot = 0; slot < SLOTS; slot++) {
        int first = run.sampleLengths()[slot];
        int again = Workload.drawTokens(random);
        int kept = run.movesBySlot()[slot] > 0 ? Math.min(first, again) : first;
        difference += Math.log(kept) - Math.log(first);
      }
    }
    assertThat(difference / (SEEDS * SLOTS)).isLessThan(-2 * TOLERANCE);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void noRunBeatsTheLowerBound(long seed) {
    StepSimulation run = new StepSimulation(seed, SLOTS, 0, null).run();
    assertThat(run.completedAtMs()).isGreaterThanOrEqualTo(run.lowerBoundMs());
  }

  @Test
  void lowerBoundIsTheLongestSampleOrTheWork() {
    EngineProfile profile = new EngineProfile(20, 0.2, 0, 2, 512, 1);
    assertThat(StepLowerBound.ms(new int[] {10, 100}, 2, profile)).isEqualTo(100 * 20.2);
    // 8 samples of 100 tokens in batches of 2: 400 steps, over 2 engines.
    int[] even = {100, 100, 100, 100, 100, 100, 100, 100};
    assertThat(StepLowerBound.ms(even, 2, profile)).isEqualTo((400 * 20 + 800 * 0.2) / 2);
  }
}
