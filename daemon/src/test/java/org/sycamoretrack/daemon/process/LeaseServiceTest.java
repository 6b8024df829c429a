package org.sycamoretrack.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.daemon.client.FakeTableStore;
import org.sycamoretrack.daemon.client.FakeTableStore.CallResult;

/** Tests of {@link LeaseService} with two processes and a table service that injects faults. */
class LeaseServiceTest {
  private static final LeaseTimings TIMINGS = new LeaseTimings(100, 20, 30, 5);

  private final FakeTableStore tables = new FakeTableStore();
  private long nowMs;
  private final NodeProcess first = new NodeProcess("a", "a/1");

  /** A process whose control thread runs only when the test calls it. */
  private final class NodeProcess {
    final FakeTableStore table = new FakeTableStore(tables);
    final Queue<Runnable> control = new ArrayDeque<>();
    final LeaseService service;

    NodeProcess(String nodeId, String incarnation) {
      service =
          new LeaseService(
              table,
              new LeaseService.Holder(nodeId, incarnation, "127.0.0.1:1", "svea-a"),
              TIMINGS,
              () -> TimeUnit.MILLISECONDS.toNanos(nowMs),
              control::add);
    }

    void poll() {
      service.poll();
      drain();
    }

    void drain() {
      Runnable command;
      while ((command = control.poll()) != null) {
        command.run();
      }
    }

    void runFirstCall(CallResult result) {
      table.complete(table.pendingCalls().getFirst(), result);
      drain();
    }

    void pollToCompletion() {
      service.poll();
      for (int i = 0; i < 3; i++) {
        table.completeAll();
        poll();
      }
    }

    boolean endExpired(String nodeId) {
      CompletionStage<Boolean> ended = service.endExpired(nodeId);
      while (!ended.toCompletableFuture().isDone()) {
        table.completeAll();
        drain();
      }
      return ended.toCompletableFuture().join();
    }
  }

  @Test
  void holdsAndRenews() {
    first.pollToCompletion();
    assertThat(first.service.epoch()).isEqualTo(1);
    for (; nowMs < 1_000; nowMs += 10) {
      first.pollToCompletion();
      assertThat(first.service.holds()).isTrue();
    }
    assertThat(tables.rows(LeaseService.TABLE, "")).hasSize(1);
    assertThat(tables.rows(LeaseService.TABLE, "").getFirst().version()).isLessThan(40);
  }

  @Test
  void leaseExpiresByTheClockWithoutPolling() {
    first.pollToCompletion();
    nowMs = 79;
    assertThat(first.service.holds()).isTrue();
    nowMs = 80;
    assertThat(first.service.holds()).isFalse();
    assertThat(first.service.epoch()).isZero();
  }

  @ParameterizedTest
  @EnumSource(CallResult.class)
  void leaseIsKeptAfterAnyOutcomeOfARenewal(CallResult result) {
    first.pollToCompletion();
    nowMs = 40;
    first.poll();
    first.runFirstCall(result);
    nowMs = 50;
    first.pollToCompletion();
    nowMs = 60;
    first.pollToCompletion();
    first.table.applyLateCalls();
    nowMs = 100;
    first.pollToCompletion();
    nowMs = 115;
    assertThat(first.service.holds()).isTrue();
    assertThat(first.service.epoch()).isEqualTo(1);
  }

  @Test
  void releasedLeaseIsTakenAtOnceWithHigherEpoch() {
    first.pollToCompletion();
    CompletionStage<Void> released = first.service.release();
    assertThat(first.service.holds()).isFalse();
    first.pollToCompletion();
    assertThat(released.toCompletableFuture()).isCompleted();
    NodeProcess next = new NodeProcess("a", "a/2");
    next.pollToCompletion();
    assertThat(next.service.epoch()).isEqualTo(2);
  }

  @Test
  void restartedProcessWaitsUntilTheOldLeaseExpires() {
    first.pollToCompletion();
    NodeProcess next = new NodeProcess("a", "a/2");
    while (!next.service.holds()) {
      nowMs += 5;
      next.pollToCompletion();
      assertThat(first.service.holds() && next.service.holds()).isFalse();
    }
    assertThat(nowMs).isBetween(TIMINGS.takeOverAfterMs(), 2 * TIMINGS.takeOverAfterMs());
    first.pollToCompletion();
    assertThat(first.service.holds()).as("first process after resuming").isFalse();
    assertThat(next.service.holds()).isTrue();
  }

  @Test
  void endedLeaseCanNotBeRenewedByALateWrite() {
    first.pollToCompletion();
    NodeProcess other = new NodeProcess("b", "b/1");
    assertThat(other.endExpired("a")).isFalse();
    nowMs = 119;
    assertThat(other.endExpired("a")).isFalse();
    first.poll();
    nowMs = 240;
    assertThat(other.endExpired("a")).isTrue();
    first.runFirstCall(CallResult.DONE);
    first.pollToCompletion();
    assertThat(first.service.epoch()).as("epoch after acquiring the lease again").isEqualTo(2);
  }

  @Test
  void renewedLeaseIsNotEnded() {
    NodeProcess other = new NodeProcess("b", "b/1");
    for (; nowMs < 1_000; nowMs += 10) {
      first.pollToCompletion();
      assertThat(other.endExpired("a")).isFalse();
    }
  }
}
