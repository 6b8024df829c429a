package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.daemon.farend.FakeTableStore;
import org.sycamoretrack.daemon.farend.FakeTableStore.Fate;

/** Named cases of failure of a key range that two nodes share. */
class ClaimRangeTest {
  private static final ClaimDecision RUN = new ClaimDecision.Run();
  private static final ClaimDecision UNSETTLED = new ClaimDecision.Unsettled();
  private static final ClaimDecision PLATFORM_OUT =
      new ClaimDecision.Refused(ErrorCode.PLATFORM_UNAVAILABLE);
  private static final ClaimDecision LEASE_LOST = new ClaimDecision.Refused(ErrorCode.LEASE_LOST);

  private final FakeTableStore tables = new FakeTableStore();
  private final Map<String, Integer> runs = new HashMap<>();
  private long nowMs = 1_000;
  private final ClaimNode a = new ClaimNode("a", 1, tables, () -> nowMs, runs);
  private final ClaimNode b = new ClaimNode("b", 1, tables, () -> nowMs, runs);

  @BeforeEach
  void ownByFirst() {
    a.wanted = true;
    a.poll();
    a.settleDown();
    assertThat(a.range.isOwned()).isTrue();
  }

  /** The first node stops for the others; the second takes the range. */
  private void takeOverBySecond() {
    a.wanted = false;
    b.wanted = true;
    for (int i = 0; i < 100 && !b.range.isOwned(); i++) {
      nowMs += 20;
      b.poll();
      b.settleDown();
    }
    assertThat(b.range.isOwned()).isTrue();
  }

  private static ClaimDecision decided(ClaimNode node, CompletableFuture<ClaimDecision> claim) {
    node.settleDown();
    assertThat(claim).isDone();
    return claim.join();
  }

  private ClaimDecision claimed(ClaimNode node, String key) {
    return decided(node, node.claim(key));
  }

  private void flush(ClaimNode node) {
    nowMs += 50;
    node.poll();
    node.settleDown();
  }

  @Test
  void repetitionGetsTheRecordedAnswerAlsoFromTheNextOwner() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    CompletableFuture<Void> recorded = a.settle("k");
    a.drainControl();
    assertThat(recorded).isNotDone();
    flush(a);
    assertThat(recorded).isCompleted();
    ClaimDecision answered = new ClaimDecision.Answered(ClaimNode.answer("k"));
    assertThat(claimed(a, "k")).isEqualTo(answered);
    assertThat(decided(a, a.claim("k", "another request")))
        .isEqualTo(new ClaimDecision.KeyReused());
    takeOverBySecond();
    assertThat(claimed(b, "k")).isEqualTo(answered);
    assertThat(decided(b, b.claim("k", "another request")))
        .isEqualTo(new ClaimDecision.KeyReused());
  }

  @Test
  void claimsWaitingTogetherAreWrittenInOneBatch() {
    CompletableFuture<ClaimDecision> first = a.claim("k1");
    a.drainControl();
    CompletableFuture<ClaimDecision> second = a.claim("k2");
    CompletableFuture<ClaimDecision> third = a.claim("k3");
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isCompletedWithValue(RUN);
    assertThat(third).isCompletedWithValue(RUN);
    assertThat(tables.rows(ClaimTable.BATCHES, "")).hasSize(2);
  }

  /** What becomes of the write of a claim, and of it when it is found missing. */
  @ParameterizedTest
  @EnumSource(
      value = Fate.class,
      names = {"ANSWER_LOST", "NEVER_ARRIVES", "LATE"})
  void lostAnswerIsSettledByReadingBack(Fate fate) {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.drainControl();
    a.table.run(a.calls().getFirst(), fate);
    assertThat(decided(a, claim)).isEqualTo(RUN);
    a.table.runLate();
    assertThat(claimed(a, "other")).isEqualTo(RUN);
    assertThat(runs).containsOnly(Map.entry("k", 1), Map.entry("other", 1));
  }

  @Test
  void lateWriteThatOvertakesItsRepetitionIsTheSameClaim() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.LATE);
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.DONE);
    a.drainControl();
    a.table.runLate();
    assertThat(decided(a, claim)).isEqualTo(RUN);
    assertThat(tables.rows(ClaimTable.BATCHES, "")).hasSize(1);
  }

  @Test
  void ownerThatDiesBeforeItReadsBackLeavesTheKeyUnsettled() {
    a.claim("k");
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.ANSWER_LOST);
    takeOverBySecond();
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(runs).isEmpty();
  }

  @Test
  void ownerThatDiesBetweenClaimAndRunLeavesTheKeyUnsettled() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    takeOverBySecond();
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(runs).containsOnly(Map.entry("k", 1));
  }

  @Test
  void pausedOwnerThatWakesCanClaimNothing() {
    CompletableFuture<ClaimDecision> beforePause = a.claim("k1");
    takeOverBySecond();
    assertThat(claimed(b, "k1")).isEqualTo(RUN);
    assertThat(decided(a, beforePause)).isEqualTo(LEASE_LOST);
    assertThat(runs).containsOnly(Map.entry("k1", 1));
    assertThat(a.range.isUnowned()).isTrue();
  }

  @Test
  void pausedOwnerWhoseWriteIsUnderWayCanClaimNothing() {
    CompletableFuture<ClaimDecision> claim = a.claim("k1");
    a.drainControl();
    takeOverBySecond();
    assertThat(decided(a, claim)).isEqualTo(LEASE_LOST);
    assertThat(claimed(b, "k1")).isEqualTo(RUN);
    assertThat(runs).containsOnly(Map.entry("k1", 1));
  }

  @Test
  void claimThatWasWrittenJustBeforeTheRangeWasTakenRunsForItsCallerAlone() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.ANSWER_LOST);
    takeOverBySecond();
    assertThat(decided(a, claim)).isEqualTo(RUN);
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    CompletableFuture<Void> recorded = a.settle("k");
    flush(a);
    assertThat(runs).containsOnly(Map.entry("k", 1));
    assertThat(recorded).isNotCompleted();
  }

  @Test
  void twoTakersThroughTwoNodesAtOnce() {
    a.alive = Set.of("a", "b");
    b.alive = Set.of("a", "b");
    b.wanted = true;
    CompletableFuture<ClaimDecision> first = a.claim("k");
    CompletableFuture<ClaimDecision> second = b.claim("k");
    b.poll();
    for (int i = 0; i < 200 && !second.isDone(); i++) {
      nowMs += 20;
      b.poll();
      b.settleDown();
    }
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isCompletedWithValue(LEASE_LOST);
  }

  @Test
  void twoTakersThroughOneNodeShareTheAnswer() {
    CompletableFuture<ClaimDecision> first = a.claim("k");
    CompletableFuture<ClaimDecision> second = a.claim("k");
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isNotDone();
    a.settle("k");
    a.drainControl();
    assertThat(second).isCompletedWithValue(new ClaimDecision.Answered(ClaimNode.answer("k")));
  }

  @Test
  void followerOfACallThatTakesTooLongIsToldThatItIsUnsettled() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    CompletableFuture<ClaimDecision> second = a.claim("k");
    a.drainControl();
    nowMs += ClaimNode.TIMES.waitMs();
    a.poll();
    assertThat(second).isCompletedWithValue(UNSETTLED);
  }

  @ParameterizedTest
  @EnumSource(
      value = Fate.class,
      names = {"REFUSED", "NEVER_ARRIVES"})
  void platformOutRefusesKeyedCallsAndRunsThemLater(Fate fate) {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.drainControl();
    while (!claim.isDone()) {
      a.table.run(a.calls().getFirst(), fate);
      a.drainControl();
    }
    assertThat(claim).isCompletedWithValue(PLATFORM_OUT);
    CompletableFuture<ClaimDecision> other = a.claim("other");
    a.drainControl();
    assertThat(other).isCompletedWithValue(PLATFORM_OUT);
    assertThat(runs).isEmpty();
    flush(a);
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    assertThat(claimed(a, "other")).isEqualTo(RUN);
  }

  @Test
  void refusedCallWhoseClaimWasWrittenAfterAllRunsWhenItIsSentAgain() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.ANSWER_LOST);
    a.drainControl();
    a.table.run(a.calls().getFirst(), Fate.REFUSED);
    a.drainControl();
    assertThat(claim).isCompletedWithValue(PLATFORM_OUT);
    flush(a);
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    assertThat(runs).containsOnly(Map.entry("k", 1));
  }

  @Test
  void platformOutWhileTheRangeIsTakenRefuses() {
    a.wanted = false;
    b.wanted = true;
    CompletableFuture<ClaimDecision> claim = b.claim("k");
    b.poll();
    CompletableFuture<ClaimDecision> waiting = b.claim("k2");
    b.poll();
    b.table.run(b.calls().getFirst(), Fate.REFUSED);
    b.drainControl();
    assertThat(waiting).isCompletedWithValue(PLATFORM_OUT);
    assertThat(claim).isDone();
  }

  @ParameterizedTest
  @EnumSource(
      value = Fate.class,
      names = {"ANSWER_LOST", "LATE"})
  void takingWhoseAnswerIsLostIsFoundByReading(Fate fate) {
    ClaimNode fresh = new ClaimNode("a", 2, tables, () -> nowMs, runs);
    fresh.wanted = true;
    fresh.poll();
    fresh.table.run(fresh.calls().getFirst(), Fate.DONE);
    fresh.drainControl();
    fresh.table.run(fresh.calls().getFirst(), fate);
    fresh.drainControl();
    fresh.table.runLate();
    flush(fresh);
    assertThat(fresh.range.isOwned()).isTrue();
    assertThat(fresh.range.epoch()).isEqualTo(2);
    assertThat(claimed(fresh, "k")).isEqualTo(RUN);
  }

  @Test
  void releasedKeyRunsAgainAlsoOnTheNextOwner() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    a.release("k");
    flush(a);
    takeOverBySecond();
    assertThat(claimed(b, "k")).isEqualTo(RUN);
    assertThat(runs).containsOnly(Map.entry("k", 1));
  }

  @Test
  void plannedHandOverLosesNoOutcomeAndRefusesNoWaitingCall() {
    a.alive = Set.of("a", "b");
    b.alive = Set.of("a", "b");
    assertThat(claimed(a, "running")).isEqualTo(RUN);
    a.wanted = false;
    b.wanted = true;
    CompletableFuture<ClaimDecision> waiting = b.claim("new");
    for (int i = 0; i < 2; i++) {
      flush(a);
      flush(b);
    }
    assertThat(waiting).isNotDone();
    a.settle("running");
    for (int i = 0; i < 4; i++) {
      flush(a);
      flush(b);
    }
    assertThat(waiting).isCompletedWithValue(RUN);
    assertThat(claimed(b, "running"))
        .isEqualTo(new ClaimDecision.Answered(ClaimNode.answer("running")));
    assertThat(a.range.isUnowned()).isTrue();
  }

  @Test
  void liveOwnerIsAskedLessAndLessOften() {
    b.alive = Set.of("a", "b");
    b.wanted = true;
    int reads = 0;
    for (long endMs = nowMs + 10 * ClaimNode.TIMES.waitMs(); nowMs < endMs; nowMs++) {
      b.poll();
      reads += b.calls().size();
      b.settleDown();
    }
    assertThat(b.range.isOwned()).isFalse();
    assertThat(reads).isBetween(100, 10_000 / (8 * (int) ClaimNode.TIMES.retryMs()) + 10);
  }
}
