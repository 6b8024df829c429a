package org.sycamoretrack.core.request.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how often nodes write the counts of a window, and when they are complete. */
class UsageWriteScheduleTest {
  private static final UsageWindows WINDOWS = new UsageWindows(5_000);
  private static final int STEP_MS = 10;

  /** Refusals change the counts until shortly after the end of the window. */
  private static final long LAST_CHANGE_MS = 5_100;

  /** Returns the times of the writes of window 0 by a node whose counts change all the time. */
  private static List<Long> writes(double phase, int nodes) {
    UsageWriteSchedule schedule = new UsageWriteSchedule(WINDOWS, phase);
    List<Long> writes = new ArrayList<>();
    long lastWriteMs = Long.MIN_VALUE;
    for (long nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
      boolean changed = lastWriteMs <= LAST_CHANGE_MS;
      if (changed && schedule.isDue(0, lastWriteMs, nodes, nowMs)) {
        lastWriteMs = nowMs;
        writes.add(nowMs);
      }
    }
    return writes;
  }

  @ParameterizedTest
  @CsvSource({"3, 1000", "30, 1000", "100, 1000", "300, 3000", "350, 3500"})
  void writesAtMostOnceInAnIntervalAndCompletelyWithinThreeSeconds(int nodes, long intervalMs) {
    SplittableRandom random = new SplittableRandom(nodes);
    int[] perSecond = new int[8];
    for (int node = 0; node < nodes; node++) {
      List<Long> writes = writes(random.nextDouble(), nodes);
      for (int i = 1; i < writes.size(); i++) {
        assertThat(writes.get(i) - writes.get(i - 1)).isGreaterThanOrEqualTo(intervalMs);
      }
      assertThat(writes.getLast()).isBetween(5_300L, 2_500L + 5_000L);
      writes.forEach(timeMs -> perSecond[(int) (timeMs / 1_000)]++);
    }
    for (int writes : perSecond) {
      // The store takes 200 transactions a second in a partition.
      assertThat(writes).isLessThanOrEqualTo(200);
    }
  }

  /** A refusal that arrives after the complete write changes the window once more. */
  @ParameterizedTest
  @CsvSource({"0.0, 5300", "1.0, 7300"})
  void changeAfterTheCompleteWriteIsWrittenAfterAnInterval(double phase, long finalMs) {
    UsageWriteSchedule schedule = new UsageWriteSchedule(WINDOWS, phase);

    assertThat(schedule.finalWriteMs(0)).isEqualTo(finalMs);
    assertThat(schedule.isDue(0, finalMs, 3, finalMs + 999)).isFalse();
    assertThat(schedule.isDue(0, finalMs, 3, finalMs + 1_000)).isTrue();
  }
}
