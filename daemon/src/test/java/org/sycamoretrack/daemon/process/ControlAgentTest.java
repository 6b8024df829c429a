package org.sycamoretrack.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.Test;

/** Tests of {@link ControlAgent}: commands and timers of the control thread. */
class ControlAgentTest {
  private static final long SEED = 42;

  private final AtomicLong nowMs = new AtomicLong();

  private ControlAgent agent() {
    return new ControlAgent(8, () -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()), new Random(SEED));
  }

  @Test
  void fullQueueRefusesAndCountsCommands() {
    ControlAgent agent = agent();
    List<Integer> ran = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      int number = i;
      assertThat(agent.execute(() -> ran.add(number))).isTrue();
    }

    assertThat(agent.execute(() -> ran.add(8))).isFalse();

    assertThat(agent.refusalCount()).isEqualTo(1);
    agent.doWork();
    assertThat(ran).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
  }

  @Test
  void timersRunWithinTheirJitterAndAFailureDoesNotStopThem() {
    ControlAgent agent = agent();
    List<Long> runsMs = new ArrayList<>();
    agent.scheduleAtFixedRate(
        "test",
        100,
        0.1,
        () -> {
          runsMs.add(nowMs.get());
          if (runsMs.size() % 50 == 0) {
            throw new IllegalStateException("expected");
          }
        });
    for (; nowMs.get() < 10_000; nowMs.incrementAndGet()) {
      agent.doWork();
    }

    assertThat(runsMs).hasSizeBetween(90, 111);
    for (int i = 1; i < runsMs.size(); i++) {
      assertThat(runsMs.get(i) - runsMs.get(i - 1)).isBetween(90L, 111L);
    }
    assertThat(agent.failureCount()).isEqualTo(runsMs.size() / 50);
  }

  @Test
  void aCommandWakesTheParkedThread() throws InterruptedException {
    try (ControlAgent agent = new ControlAgent(1_024, SystemNanoClock.INSTANCE, new Random(SEED))) {
      agent.start();
      for (int i = 0; i < 1_000; i++) {
        CountDownLatch ran = new CountDownLatch(1);
        assertThat(agent.execute(ran::countDown)).isTrue();
        assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
      }
    }
  }
}
