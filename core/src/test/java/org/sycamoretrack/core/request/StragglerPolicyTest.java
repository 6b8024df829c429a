package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.StragglerPolicy.Move;
import org.sycamoretrack.core.request.StragglerPolicy.RunningSample;
import org.sycamoretrack.core.request.StragglerPolicy.SpareEndpoint;
import org.sycamoretrack.core.request.StragglerPolicy.StepProgress;

/** Tests of {@link StragglerPolicy}. */
class StragglerPolicyTest {
  private final StragglerPolicy policy = new StragglerPolicy();

  @ParameterizedTest
  @CsvSource({
    // queued, sample's ms per token, spare's ms per token, spare's version, free, made, moved,
    // moves
    "0, 100, 20, 7, 1, 100000, 0, 1",
    "1, 100, 20, 7, 1, 100000, 0, 0",
    "0, 25, 20, 7, 1, 100000, 0, 0",
    "0, 100, 20, 8, 1, 100000, 0, 0",
    "0, 100, 20, 7, 0, 100000, 0, 0",
    "0, 100, 20, 7, 1, 100000, 4900, 0",
    "0, 100, 20, 7, 1, 2000, 0, 0",
  })
  void movesALateSampleWhenItPaysAndTheBudgetAllows(
      int queued,
      double sampleMs,
      double spareMs,
      long version,
      int free,
      long made,
      long moved,
      int moves) {
    StepProgress step =
        new StepProgress(
            List.of(new RunningSample(3, "slow", 300, 7, sampleMs, 0)), queued, made, moved);
    List<Move> decided =
        policy.decide(step, List.of(new SpareEndpoint("fast", free, version, spareMs)));
    assertThat(decided).hasSize(moves);
    if (moves == 1) {
      assertThat(decided).containsExactly(new Move(3, "slow", "fast", 300));
    }
  }

  @Property(tries = 200)
  void neverExceedsBudgetOrSlotsAndNeverRacesASample(
      @ForAll @IntRange(min = 1, max = 60) int samples,
      @ForAll @IntRange(max = 5) int free,
      @ForAll @IntRange(min = 1, max = 2_000) int tokens) {
    List<RunningSample> running =
        IntStream.range(0, samples)
            .mapToObj(i -> new RunningSample(i, "e" + i % 4, tokens, 1, 20 + 40 * (i % 4), 0))
            .toList();
    long made = 20_000;
    List<Move> moves =
        policy.decide(
            new StepProgress(running, 0, made, 0), List.of(new SpareEndpoint("e0", free, 1, 20)));
    Set<Integer> slots = new HashSet<>();
    moves.forEach(move -> assertThat(slots.add(move.slot())).isTrue());
    assertThat(moves.size()).isLessThanOrEqualTo(free);
    assertThat((long) moves.size() * tokens).isLessThanOrEqualTo(made / 20);
    assertThat(moves).allMatch(move -> !move.fromEndpoint().equals(move.toEndpoint()));
  }
}
