package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.aggregator.ArgumentsAccessor;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.StragglerPolicy.EndpointStatus;
import org.sycamoretrack.core.request.StragglerPolicy.Move;
import org.sycamoretrack.core.request.StragglerPolicy.RunningSample;
import org.sycamoretrack.core.request.StragglerPolicy.StepProgress;

/** Tests of {@link StragglerPolicy}. */
class StragglerPolicyTest {
  private final StragglerPolicy policy = new StragglerPolicy();

  @ParameterizedTest
  @CsvSource({
    // queued, tokens, ms per token of sample, of target, version of target, free slots,
    // tokens of step, cost of earlier moves, moves
    "0, 600, 100, 20, 7, 1, 100000, 0, 1",
    "1, 600, 100, 20, 7, 1, 100000, 0, 0",
    "0, 600, 22, 20, 7, 1, 100000, 0, 0",
    "0, 600, 49, 20, 7, 1, 100000, 0, 0",
    "0, 600, 50, 20, 7, 1, 100000, 0, 1",
    "0, 4, 25, 10, 7, 1, 100000, 0, 1",
    "0, 4, 5, 2, 7, 1, 100000, 0, 0",
    "0, 4094, 100, 20, 7, 1, 100000, 0, 0",
    "0, 600, 100, 20, 8, 1, 100000, 0, 0",
    "0, 600, 100, 20, 7, 0, 100000, 0, 0",
    "0, 600, 100, 20, 7, 1, 100000, 4960, 1",
    "0, 600, 100, 20, 7, 1, 100000, 4970, 0",
    "0, 600, 100, 20, 7, 1, 600, 0, 0",
  })
  void movesStragglerWhenWorthItsCostAndWithinBudget(ArgumentsAccessor row) {
    int tokens = row.getInteger(1);
    RunningSample sample = new RunningSample(3, "slow", tokens, 4_096, 7, row.getDouble(2));
    StepProgress step =
        new StepProgress(512, List.of(sample), row.getInteger(0), row.getLong(6), row.getDouble(7));
    EndpointStatus target =
        new EndpointStatus("fast", 0, row.getInteger(5), row.getLong(4), row.getDouble(3));
    List<Move> expected =
        row.getInteger(8) == 0 ? List.of() : List.of(new Move(3, "slow", "fast", tokens));
    assertThat(policy.selectMoves(step, List.of(target))).isEqualTo(expected);
  }

  @Test
  void choosesLeastBusyEndpointOfNormalSpeed() {
    List<RunningSample> running =
        IntStream.range(0, 6)
            .mapToObj(i -> new RunningSample(i, "slow", 500, 4_096, 7, 100))
            .toList();
    List<EndpointStatus> spares =
        List.of(
            new EndpointStatus("a", 2, 9, 7, 20),
            new EndpointStatus("b", 0, 9, 7, 24),
            new EndpointStatus("c", 0, 9, 7, 40));
    Map<String, Long> moves =
        policy.selectMoves(new StepProgress(512, running, 0, 100_000, 0), spares).stream()
            .collect(Collectors.groupingBy(Move::toEndpoint, Collectors.counting()));
    assertThat(moves).isEqualTo(Map.of("a", 2L, "b", 4L));
  }

  @Test
  void rebalancesOntoAnIdleEndpointInSmallSteps() {
    List<RunningSample> running =
        IntStream.range(0, 20)
            .mapToObj(i -> new RunningSample(i, "full", 1_000, 4_096, 7, 25))
            .toList();
    List<EndpointStatus> spares =
        List.of(new EndpointStatus("full", 20, 9, 7, 25), new EndpointStatus("empty", 0, 9, 7, 20));
    assertThat(policy.selectMoves(new StepProgress(512, running, 0, 100_000, 0), spares))
        .hasSize(2)
        .allMatch(move -> move.toEndpoint().equals("empty"));
    assertThat(
            policy.selectMoves(
                new StepProgress(512, running.subList(0, 4), 0, 100_000, 0),
                List.of(
                    new EndpointStatus("full", 4, 9, 7, 25),
                    new EndpointStatus("empty", 0, 9, 7, 20))))
        .isEmpty();
  }

  @Test
  void reservesHalfOfTheBudgetForTheTail() {
    List<RunningSample> running =
        IntStream.range(0, 100)
            .mapToObj(i -> new RunningSample(i, "slow", 600, 4_096, 7, 100))
            .toList();
    List<EndpointStatus> spares = List.of(new EndpointStatus("a", 0, 200, 7, 20));
    // Each move costs 31 tokens. The budget is 1,000 tokens, of which 500 before the tail.
    assertThat(policy.selectMoves(new StepProgress(512, running, 0, 20_000, 0), spares))
        .hasSize(16);
    assertThat(policy.selectMoves(new StepProgress(1_000, running, 0, 20_000, 0), spares))
        .hasSize(32);
  }

  @Test
  void queuedSamplesTakeFreeSlotsBeforeMoves() {
    List<RunningSample> running =
        IntStream.range(0, 6)
            .mapToObj(i -> new RunningSample(i, "slow", 100 * (i + 1), 4_096, 7, 100))
            .toList();
    List<EndpointStatus> spares = List.of(new EndpointStatus("a", 0, 5, 7, 20));
    assertThat(policy.selectMoves(new StepProgress(512, running, 3, 100_000, 0), spares))
        .extracting(Move::slot)
        .containsExactly(5, 4);
  }

  @Property(tries = 200)
  void respectsBudgetAndSlotsAndMovesEachSampleOnce(
      @ForAll @IntRange(min = 1, max = 60) int samples,
      @ForAll @IntRange(max = 5) int free,
      @ForAll @IntRange(min = 1, max = 2_000) int tokens) {
    List<RunningSample> running =
        IntStream.range(0, samples)
            .mapToObj(i -> new RunningSample(i, "e" + i % 4, tokens, 4_096, 1, 20 + 40 * (i % 4)))
            .toList();
    long tokensMade = 2_000;
    List<Move> moves =
        policy.selectMoves(
            new StepProgress(1_000, running, 0, tokensMade, 0),
            List.of(new EndpointStatus("e0", 0, free, 1, 20)));
    Set<Integer> slots = new HashSet<>();
    moves.forEach(move -> assertThat(slots.add(move.slot())).isTrue());
    assertThat(moves.size()).isLessThanOrEqualTo(free);
    assertThat(moves.size() * StragglerPolicy.costTokens(tokens))
        .isLessThanOrEqualTo(tokensMade / 20.0);
    assertThat(moves).allMatch(move -> !move.fromEndpoint().equals(move.toEndpoint()));
  }
}
