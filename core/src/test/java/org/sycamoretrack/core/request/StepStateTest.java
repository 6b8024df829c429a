package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link StepState}, {@link StepSpec}, {@link SlotBitmap} and {@link
 * VersionSpanCollector}.
 */
class StepStateTest {
  private static final StepSpec SPEC =
      new StepSpec(
          new StepId("t", 1), 5, 100, List.of(new GroupSpec("a", 2, 1), new GroupSpec("b", 3, 2)));

  private static Sample sample(int slot, int attempt, long version) {
    return new Sample(slot, "x", 1, "stop", attempt, null, List.of(new VersionSpan(version, 0, 1)));
  }

  @ParameterizedTest
  @CsvSource({"0,0,0", "1,0,1", "2,1,0", "3,1,1", "4,1,2"})
  void numbersSlotsInTheOrderOfGroups(int slot, int group, int index) {
    assertThat(SPEC.groupOf(slot)).isEqualTo(group);
    assertThat(SPEC.indexOf(slot)).isEqualTo(index);
  }

  @Test
  void seedsAreDistinctAndDeterministic() {
    assertThat(java.util.stream.LongStream.range(0, 5).map(s -> SPEC.seedOf((int) s)).distinct())
        .hasSize(5);
    assertThat(SPEC.seedOf(3)).isEqualTo(SPEC.seedOf(3)).isNotNegative().isLessThan(1L << 53);
  }

  @Test
  void firstFinishedAttemptWins() {
    StepState state = new StepState(SPEC);
    int slot = state.startNext().orElseThrow();
    state.addAttempt(slot);
    assertThat(state.finish(sample(slot, 2, 5))).isTrue();
    assertThat(state.finish(sample(slot, 1, 5))).isFalse();
    assertThat(state.deliverable(0, 10)).extracting(Sample::attempt).containsExactly(2);
  }

  @Test
  void redeliversUntilAPollAcknowledgesTheSlot() {
    StepState state = new StepState(SPEC);
    int slot = state.startNext().orElseThrow();
    state.finish(sample(slot, 1, 5));
    assertThat(state.deliverable(0, 10)).hasSize(1);
    assertThat(state.deliverable(0, 10)).hasSize(1);
    state.acknowledge(SlotBitmap.empty().with(slot));
    assertThat(state.deliverable(0, 10)).isEmpty();
  }

  @Test
  void staleSampleIsGeneratedAgain() {
    StepState state = new StepState(SPEC);
    int slot = state.startNext().orElseThrow();
    state.finish(sample(slot, 1, 5));
    assertThat(state.deliverable(6, 10)).isEmpty();
    assertThat(state.droppedTokens()).isEqualTo(1);
    assertThat(state.startNext()).hasValue(slot);
    assertThat(state.attempt(slot)).isEqualTo(2);
  }

  @Test
  void acknowledgedSlotIsReportedAsCancellable() {
    StepState state = new StepState(SPEC);
    int slot = state.startNext().orElseThrow();
    assertThat(state.acknowledge(SlotBitmap.empty().with(slot).with(4))).containsExactly(slot);
    assertThat(state.finish(sample(slot, 1, 5))).isFalse();
    assertThat(state.received()).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void everySlotIsDeliveredOnceUnderLossAndFailure(long seed) {
    Random random = new Random(seed);
    StepState state = new StepState(SPEC);
    SlotBitmap received = SlotBitmap.empty();
    int iterations = 0;
    while (!state.isComplete()) {
      assertThat(++iterations).isLessThan(10_000);
      state.startNext();
      int slot = random.nextInt(SPEC.slots());
      switch (random.nextInt(4)) {
        case 0 -> state.fail(slot);
        case 1 -> {
          if (state.isRunning(slot)) {
            state.finish(sample(slot, state.attempt(slot), 5));
          }
        }
        case 2 -> state.deliverable(random.nextInt(7), 3);
        default -> {
          state.acknowledge(received);
          for (Sample delivered : state.deliverable(0, 2)) {
            assertThat(received.contains(delivered.slot())).isFalse();
            received = received.with(delivered.slot());
          }
        }
      }
      assertThat(state.waiting() + state.running() + state.finished() + state.received())
          .isEqualTo(SPEC.slots());
    }
    assertThat(received.size()).isEqualTo(SPEC.slots());
  }

  @Test
  void bitmapEncodingIsStable() {
    SlotBitmap bitmap = SlotBitmap.empty().with(0).with(9);
    assertThat(bitmap.toBytes()).containsExactly(1, 2);
    assertThat(SlotBitmap.ofBytes(new byte[] {1, 2}, 10)).isEqualTo(bitmap);
    org.assertj.core.api.Assertions.assertThatIllegalArgumentException()
        .isThrownBy(() -> SlotBitmap.ofBytes(new byte[] {1, 2}, 9));
  }

  @Test
  void chunksOfOneVersionFormOneSpan() {
    VersionSpanCollector spans = new VersionSpanCollector();
    spans.append(7, 10);
    spans.append(7, 5);
    spans.append(8, 3);
    assertThat(spans.toList())
        .containsExactly(new VersionSpan(7, 0, 15), new VersionSpan(8, 15, 18));
    assertThat(VersionSpanCollector.oldest(spans.toList())).isEqualTo(7);
  }
}
