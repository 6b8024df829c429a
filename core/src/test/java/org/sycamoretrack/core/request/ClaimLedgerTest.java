package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.ClaimLedger.Decision;

/**
 * Tests of {@link ClaimLedger}: the limits of keys, cached responses, batches and retention,
 * recovery, and refused claims.
 */
class ClaimLedgerTest {
  private static final long RETENTION_MS = 1_000;
  private static final ClaimLimits LIMITS = new ClaimLimits(3, 10, 2, 8, RETENTION_MS);

  private final ClaimLedger ledger = new ClaimLedger(LIMITS, 1, "me");

  private static RecordedResponse response(int bytes) {
    return RecordedResponse.of(200, Map.of(), new byte[bytes]);
  }

  private void commitAll() {
    while (ledger.nextBatch().isPresent()) {
      ledger.onCommitted();
    }
  }

  private void run(String key, long nowMs) {
    assertThat(ledger.claim(key, "f", nowMs)).isInstanceOf(Decision.Queued.class);
    commitAll();
  }

  private void runAndRecord(String key, int bytes, long nowMs) {
    run(key, nowMs);
    assertThat(ledger.recordResponse(key, response(bytes), nowMs)).isTrue();
    commitAll();
  }

  @Test
  void rejectsNewKeysAtCapacityUntilOldOnesExpire() {
    for (String key : List.of("a", "b", "c")) {
      runAndRecord(key, 0, 0);
    }
    assertThat(ledger.claim("d", "f", RETENTION_MS - 1)).isInstanceOf(Decision.Full.class);
    assertThat(ledger.claim("d", "f", RETENTION_MS)).isInstanceOf(Decision.Queued.class);
    assertThat(ledger.keyCount()).isEqualTo(1);
  }

  @Test
  void runningCallDoesNotExpire() {
    run("a", 0);
    ledger.takeExpiredBatches(10 * RETENTION_MS, 10);
    assertThat(ledger.claim("a", "f", 10 * RETENTION_MS)).isInstanceOf(Decision.InProgress.class);
    assertThat(ledger.isIdle()).isFalse();
    assertThat(ledger.markUnsettled("a", 10 * RETENTION_MS)).isTrue();
    assertThat(ledger.isIdle()).isTrue();
    assertThat(ledger.claim("a", "f", 10 * RETENTION_MS)).isInstanceOf(Decision.Unsettled.class);
  }

  @Test
  void oldestResponsesAreEvictedFromMemory() {
    runAndRecord("a", 6, 0);
    runAndRecord("b", 6, 0);
    assertThat(ledger.responseBytes()).isEqualTo(6);
    assertThat(ledger.claim("a", "f", 0)).isEqualTo(new Decision.ResponseInBatch(1));
    assertThat(ledger.claim("b", "f", 0)).isEqualTo(new Decision.Answered(response(6)));
  }

  @Test
  void responseStaysInMemoryUntilItIsInTheTable() {
    run("a", 0);
    ledger.recordResponse("a", response(20), 0);
    assertThat(ledger.claim("a", "f", 0)).isEqualTo(new Decision.Answered(response(20)));
    commitAll();
    assertThat(ledger.claim("a", "f", 0)).isEqualTo(new Decision.ResponseInBatch(1));
  }

  @Test
  void batchesAreBoundedInEntriesAndBytes() {
    ledger.claim("a", "f", 0);
    ledger.claim("b", "f", 0);
    ledger.claim("c", "f", 0);
    assertThat(ledger.nextBatch().orElseThrow().entries()).hasSize(2);
    assertThat(ledger.nextBatch()).as("while one is under way").isEmpty();
    ledger.onCommitted();
    commitAll();
    ledger.recordResponse("a", response(5), 0);
    ledger.recordResponse("b", response(5), 0);
    assertThat(ledger.nextBatch().orElseThrow().entries()).hasSize(1);
  }

  @Test
  void expiredBatchesAreReturnedOnceAndTheLastIsKept() {
    runAndRecord("a", 0, 0);
    runAndRecord("b", 0, 500);
    assertThat(ledger.takeExpiredBatches(RETENTION_MS, 10)).containsExactly(0L, 1L);
    assertThat(ledger.takeExpiredBatches(10 * RETENTION_MS, 1)).containsExactly(2L);
    assertThat(ledger.takeExpiredBatches(10 * RETENTION_MS, 10)).isEmpty();
  }

  @Test
  void recoveryRejectsAGapInBatchNumbers() {
    ledger.recover(new ClaimBatch(7, 1, "other", List.of()));
    assertThatThrownBy(() -> ledger.recover(new ClaimBatch(9, 1, "other", List.of())))
        .isInstanceOf(IllegalArgumentException.class);
    ledger.recover(new ClaimBatch(8, 2, "another", List.of()));
    ledger.claim("a", "f", 0);
    assertThat(ledger.nextBatch().orElseThrow().number()).isEqualTo(9);
  }

  @Test
  void refusedClaimThatWasCommittedRunsForOneLaterCaller() {
    ledger.claim("a", "f", 0);
    ledger.nextBatch();
    assertThat(ledger.refuseUncommitted()).containsExactly("a");
    assertThat(ledger.refuseUncommitted()).as("refused once").isEmpty();
    assertThat(ledger.onCommitted()).isEmpty();
    assertThat(ledger.claim("a", "f", 0)).isInstanceOf(Decision.Run.class);
    assertThat(ledger.claim("a", "f", 0)).isInstanceOf(Decision.InProgress.class);
  }

  @Test
  void refusedClaimThatWasNotWrittenIsRemoved() {
    ledger.claim("a", "f", 0);
    ledger.claim("b", "f", 0);
    ledger.nextBatch();
    ledger.claim("c", "f", 0);
    assertThat(ledger.refuseUncommitted()).containsExactlyInAnyOrder("a", "b", "c");
    ledger.onNotWritten();
    assertThat(ledger.keyCount()).isZero();
    assertThat(ledger.hasPending()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"32768, true", "32769, false"})
  void longBodiesAreNotKept(int bytes, boolean kept) {
    assertThat(response(bytes).isBodyKept()).isEqualTo(kept);
  }
}
