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
import org.sycamoretrack.daemon.client.FakeTableStore;
import org.sycamoretrack.daemon.client.FakeTableStore.CallResult;

/**
 * Failure cases of a key range that two nodes share: guards against a key that runs twice or a lost
 * outcome when table calls fail, their responses are lost, or a node crashes or pauses at a given
 * step.
 */
class ClaimRangeTest {
  private static final ClaimDecision RUN = new ClaimDecision.Run();
  private static final ClaimDecision UNSETTLED = new ClaimDecision.Unsettled();
  private static final ClaimDecision PLATFORM_UNAVAILABLE =
      new ClaimDecision.Refused(ErrorCode.PLATFORM_UNAVAILABLE);
  private static final ClaimDecision LEASE_LOST = new ClaimDecision.Refused(ErrorCode.LEASE_LOST);

  private final FakeTableStore tables = new FakeTableStore();
  private final Map<String, Integer> runCounts = new HashMap<>();
  private long nowMs = 1_000;
  private final ClaimTestNode a = new ClaimTestNode("a", 1, tables, () -> nowMs, runCounts);
  private final ClaimTestNode b = new ClaimTestNode("b", 1, tables, () -> nowMs, runCounts);

  @BeforeEach
  void nodeAOwnsTheRange() {
    a.assigned = true;
    a.poll();
    a.runUntilIdle();
    assertThat(a.range.isOwned()).isTrue();
  }

  /** Node A stops polling, as if it had crashed or paused; node B takes the range over. */
  private void takeOverByNodeB() {
    a.assigned = false;
    b.assigned = true;
    for (int i = 0; i < 100 && !b.range.isOwned(); i++) {
      nowMs += 20;
      b.poll();
      b.runUntilIdle();
    }
    assertThat(b.range.isOwned()).isTrue();
  }

  private static ClaimDecision decided(ClaimTestNode node, CompletableFuture<ClaimDecision> claim) {
    node.runUntilIdle();
    assertThat(claim).isDone();
    return claim.join();
  }

  private ClaimDecision claimed(ClaimTestNode node, String key) {
    return decided(node, node.claim(key));
  }

  private void flush(ClaimTestNode node) {
    nowMs += 50;
    node.poll();
    node.runUntilIdle();
  }

  @Test
  void repeatedCallGetsTheRecordedResponseAlsoFromTheNextOwner() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    CompletableFuture<Void> recorded = a.recordResponse("k");
    a.runControlThread();
    assertThat(recorded).isNotDone();
    flush(a);
    assertThat(recorded).isCompleted();
    ClaimDecision answered = new ClaimDecision.Answered(ClaimTestNode.response("k"));
    assertThat(claimed(a, "k")).isEqualTo(answered);
    assertThat(decided(a, a.claim("k", "another request")))
        .isEqualTo(new ClaimDecision.KeyReused());
    takeOverByNodeB();
    assertThat(claimed(b, "k")).isEqualTo(answered);
    assertThat(decided(b, b.claim("k", "another request")))
        .isEqualTo(new ClaimDecision.KeyReused());
  }

  @Test
  void pendingClaimsAreWrittenInOneBatch() {
    CompletableFuture<ClaimDecision> first = a.claim("k1");
    a.runControlThread();
    CompletableFuture<ClaimDecision> second = a.claim("k2");
    CompletableFuture<ClaimDecision> third = a.claim("k3");
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isCompletedWithValue(RUN);
    assertThat(third).isCompletedWithValue(RUN);
    assertThat(tables.rows(ClaimTable.BATCHES, "")).hasSize(2);
  }

  /**
   * The response to the write of a claim is lost. The claim is read back, and written again when it
   * is not found.
   */
  @ParameterizedTest
  @EnumSource(
      value = CallResult.class,
      names = {"RESPONSE_LOST", "NEVER_ARRIVES", "LATE"})
  void writeWithALostResponseIsReadBack(CallResult result) {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), result);
    assertThat(decided(a, claim)).isEqualTo(RUN);
    a.table.applyLateCalls();
    assertThat(claimed(a, "other")).isEqualTo(RUN);
    assertThat(runCounts).containsOnly(Map.entry("k", 1), Map.entry("other", 1));
  }

  @Test
  void delayedWriteThatRacesWithItsRetryIsTheSameClaim() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.LATE);
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.DONE);
    a.runControlThread();
    a.table.applyLateCalls();
    assertThat(decided(a, claim)).isEqualTo(RUN);
    assertThat(tables.rows(ClaimTable.BATCHES, "")).hasSize(1);
  }

  @Test
  void ownerCrashBeforeReadBackLeavesTheKeyUnsettled() {
    a.claim("k");
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.RESPONSE_LOST);
    takeOverByNodeB();
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(runCounts).isEmpty();
  }

  @Test
  void ownerCrashBetweenClaimAndRunLeavesTheKeyUnsettled() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    takeOverByNodeB();
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    assertThat(runCounts).containsOnly(Map.entry("k", 1));
  }

  @Test
  void pausedOwnerCannotClaimAfterTakeover() {
    CompletableFuture<ClaimDecision> beforePause = a.claim("k1");
    takeOverByNodeB();
    assertThat(claimed(b, "k1")).isEqualTo(RUN);
    assertThat(decided(a, beforePause)).isEqualTo(LEASE_LOST);
    assertThat(runCounts).containsOnly(Map.entry("k1", 1));
    assertThat(a.range.isUnowned()).isTrue();
  }

  @Test
  void pausedOwnerWithAWriteInFlightCannotClaimAfterTakeover() {
    CompletableFuture<ClaimDecision> claim = a.claim("k1");
    a.runControlThread();
    takeOverByNodeB();
    assertThat(decided(a, claim)).isEqualTo(LEASE_LOST);
    assertThat(claimed(b, "k1")).isEqualTo(RUN);
    assertThat(runCounts).containsOnly(Map.entry("k1", 1));
  }

  @Test
  void claimWrittenJustBeforeTakeoverRunsForItsOwnCallerOnly() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.RESPONSE_LOST);
    takeOverByNodeB();
    assertThat(decided(a, claim)).isEqualTo(RUN);
    assertThat(claimed(b, "k")).isEqualTo(UNSETTLED);
    CompletableFuture<Void> recorded = a.recordResponse("k");
    flush(a);
    assertThat(runCounts).containsOnly(Map.entry("k", 1));
    assertThat(recorded).isNotCompleted();
  }

  @Test
  void concurrentClaimsOnTwoNodesRunOnce() {
    a.alive = Set.of("a", "b");
    b.alive = Set.of("a", "b");
    b.assigned = true;
    CompletableFuture<ClaimDecision> first = a.claim("k");
    CompletableFuture<ClaimDecision> second = b.claim("k");
    b.poll();
    for (int i = 0; i < 200 && !second.isDone(); i++) {
      nowMs += 20;
      b.poll();
      b.runUntilIdle();
    }
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isCompletedWithValue(LEASE_LOST);
  }

  @Test
  void concurrentClaimsOnOneNodeShareTheResponse() {
    CompletableFuture<ClaimDecision> first = a.claim("k");
    CompletableFuture<ClaimDecision> second = a.claim("k");
    assertThat(decided(a, first)).isEqualTo(RUN);
    assertThat(second).isNotDone();
    a.recordResponse("k");
    a.runControlThread();
    assertThat(second)
        .isCompletedWithValue(new ClaimDecision.Answered(ClaimTestNode.response("k")));
  }

  @Test
  void followerOfASlowCallGetsUnsettled() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    CompletableFuture<ClaimDecision> second = a.claim("k");
    a.runControlThread();
    nowMs += ClaimTestNode.TIMES.maxWaitMs();
    a.poll();
    assertThat(second).isCompletedWithValue(UNSETTLED);
  }

  @ParameterizedTest
  @EnumSource(
      value = CallResult.class,
      names = {"REFUSED", "NEVER_ARRIVES"})
  void keyedCallsAreRefusedDuringAPlatformOutageAndRunLater(CallResult result) {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.runControlThread();
    while (!claim.isDone()) {
      a.table.complete(a.pendingTableCalls().getFirst(), result);
      a.runControlThread();
    }
    assertThat(claim).isCompletedWithValue(PLATFORM_UNAVAILABLE);
    CompletableFuture<ClaimDecision> other = a.claim("other");
    a.runControlThread();
    assertThat(other).isCompletedWithValue(PLATFORM_UNAVAILABLE);
    assertThat(runCounts).isEmpty();
    flush(a);
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    assertThat(claimed(a, "other")).isEqualTo(RUN);
  }

  @Test
  void refusedCallWhoseClaimWasWrittenRunsWhenRetried() {
    CompletableFuture<ClaimDecision> claim = a.claim("k");
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.RESPONSE_LOST);
    a.runControlThread();
    a.table.complete(a.pendingTableCalls().getFirst(), CallResult.REFUSED);
    a.runControlThread();
    assertThat(claim).isCompletedWithValue(PLATFORM_UNAVAILABLE);
    flush(a);
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    assertThat(runCounts).containsOnly(Map.entry("k", 1));
  }

  @Test
  void platformOutageDuringAcquisitionRefusesWaitingClaims() {
    a.assigned = false;
    b.assigned = true;
    CompletableFuture<ClaimDecision> claim = b.claim("k");
    b.poll();
    CompletableFuture<ClaimDecision> waiting = b.claim("k2");
    b.poll();
    b.table.complete(b.pendingTableCalls().getFirst(), CallResult.REFUSED);
    b.runControlThread();
    assertThat(waiting).isCompletedWithValue(PLATFORM_UNAVAILABLE);
    assertThat(claim).isDone();
  }

  @ParameterizedTest
  @EnumSource(
      value = CallResult.class,
      names = {"RESPONSE_LOST", "LATE"})
  void acquisitionWithALostResponseIsFoundByReadingTheOwnerRow(CallResult result) {
    ClaimTestNode restarted = new ClaimTestNode("a", 2, tables, () -> nowMs, runCounts);
    restarted.assigned = true;
    restarted.poll();
    restarted.table.complete(restarted.pendingTableCalls().getFirst(), CallResult.DONE);
    restarted.runControlThread();
    restarted.table.complete(restarted.pendingTableCalls().getFirst(), result);
    restarted.runControlThread();
    restarted.table.applyLateCalls();
    flush(restarted);
    assertThat(restarted.range.isOwned()).isTrue();
    assertThat(restarted.range.epoch()).isEqualTo(2);
    assertThat(claimed(restarted, "k")).isEqualTo(RUN);
  }

  @Test
  void releasedKeyRunsAgainAlsoOnTheNextOwner() {
    assertThat(claimed(a, "k")).isEqualTo(RUN);
    a.release("k");
    flush(a);
    takeOverByNodeB();
    assertThat(claimed(b, "k")).isEqualTo(RUN);
    assertThat(runCounts).containsOnly(Map.entry("k", 1));
  }

  @Test
  void plannedHandoverLosesNoOutcomeAndRefusesNoWaitingCall() {
    a.alive = Set.of("a", "b");
    b.alive = Set.of("a", "b");
    assertThat(claimed(a, "running")).isEqualTo(RUN);
    a.assigned = false;
    b.assigned = true;
    CompletableFuture<ClaimDecision> waiting = b.claim("new");
    for (int i = 0; i < 2; i++) {
      flush(a);
      flush(b);
    }
    assertThat(waiting).isNotDone();
    a.recordResponse("running");
    for (int i = 0; i < 4; i++) {
      flush(a);
      flush(b);
    }
    assertThat(waiting).isCompletedWithValue(RUN);
    assertThat(claimed(b, "running"))
        .isEqualTo(new ClaimDecision.Answered(ClaimTestNode.response("running")));
    assertThat(a.range.isUnowned()).isTrue();
  }

  @Test
  void ownerOfALiveNodeIsPolledWithBackoff() {
    b.alive = Set.of("a", "b");
    b.assigned = true;
    int reads = 0;
    for (long endMs = nowMs + 10 * ClaimTestNode.TIMES.maxWaitMs(); nowMs < endMs; nowMs++) {
      b.poll();
      reads += b.pendingTableCalls().size();
      b.runUntilIdle();
    }
    assertThat(b.range.isOwned()).isFalse();
    assertThat(reads).isBetween(100, 10_000 / (8 * (int) ClaimTestNode.TIMES.retryDelayMs()) + 10);
  }
}
