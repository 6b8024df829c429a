package org.sycamoretrack.core.request.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.request.usage.UsageReportQueue.Response;

/** Checks the order and the rate in which a holder sums windows and sends reports. */
class UsageReportQueueTest {
  private static final UsageWindows WINDOWS = new UsageWindows(5_000);
  private static final long SUM_DELAY_MS = 6_000;
  private static final long FIRST = 100;

  private final UsageReportQueue queue = new UsageReportQueue(WINDOWS, SUM_DELAY_MS, FIRST);

  private static long dueMs(long window) {
    return WINDOWS.endMs(window) + SUM_DELAY_MS;
  }

  @Test
  void windowIsSummedOnceAndOnlyWhenItIsDue() {
    assertThat(queue.nextSum(dueMs(FIRST) - 1)).isEmpty();
    assertThat(queue.nextSum(dueMs(FIRST))).hasValue(FIRST);
    assertThat(queue.nextSum(dueMs(FIRST + 1))).isEmpty();
    queue.onSummed(false);
    assertThat(queue.nextSum(dueMs(FIRST + 1) - 1)).isEmpty();
    assertThat(queue.nextSum(dueMs(FIRST + 1))).hasValue(FIRST + 1);
  }

  @Test
  void failedSumIsRepeated() {
    queue.nextSum(dueMs(FIRST));
    queue.onSumFailed(dueMs(FIRST));

    assertThat(queue.nextSum(dueMs(FIRST))).isEmpty();
    assertThat(queue.nextSum(dueMs(FIRST) + 300)).hasValue(FIRST);
  }

  @Test
  void reportOfAnEarlierHolderThatWasAcceptedIsNotSent() {
    queue.nextSum(dueMs(FIRST));
    queue.onSummed(true);

    assertThat(queue.nextSend(0)).isEmpty();
    assertThat(queue.oldestUnreported()).isEqualTo(FIRST + 1);
  }

  /** After an outage of a minute, reports are sent in order and at most four a second. */
  @Test
  void queuedReportsFollowInOrderAtALimitedRate() {
    for (int i = 0; i < 12; i++) {
      queue.nextSum(dueMs(FIRST + i));
      queue.onSummed(false);
    }
    List<Long> sent = new ArrayList<>();
    long startMs = 1_000;
    for (long nowMs = startMs; nowMs < startMs + 3_000; nowMs += 10) {
      OptionalLong window = queue.nextSend(nowMs);
      if (window.isPresent()) {
        sent.add(window.getAsLong());
        queue.onResponse(Response.ACCEPTED, dueMs(FIRST + 12), nowMs);
      }
    }

    assertThat(sent).isSorted().hasSizeBetween(8, 12).startsWith(FIRST, FIRST + 1);
  }

  @Test
  void onlyOneCallIsInProgress() {
    queue.nextSum(dueMs(FIRST));
    queue.onSummed(false);

    assertThat(queue.nextSend(0)).hasValue(FIRST);
    assertThat(queue.nextSend(60_000)).isEmpty();
  }

  /** Guards against a report that blocks all later ones because it is never accepted. */
  @ParameterizedTest
  @CsvSource({
    "ACCEPTED, 0, true",
    "FAILED, 0, false",
    "FAILED, 600000, false",
    "REJECTED, 59000, false",
    "REJECTED, 61000, true"
  })
  void reportIsRepeatedUntilItIsAcceptedOrLongRejected(
      Response response, long afterMs, boolean done) {
    queue.nextSum(dueMs(FIRST));
    queue.onSummed(false);
    queue.nextSend(0);

    assertThat(queue.onResponse(response, WINDOWS.endMs(FIRST) + afterMs, 0)).isEqualTo(done);
    assertThat(queue.nextSend(500)).isEqualTo(done ? OptionalLong.empty() : OptionalLong.of(FIRST));
  }

  /** Windows are named relative to the one that is current, at its start. */
  @ParameterizedTest
  @CsvSource({
    "1, , 1", // A new deployment begins with the next window.
    "-1000, -3, -2", // A new holder continues after the last reported window.
    "-1000, -100, -12", // Windows of more than a minute ago are not reported.
    "-1000, , -12",
    "-4, , -4"
  })
  void holderBeginsAfterTheLastReportedWindow(long start, Long last, long expected) {
    long current = 1_000;
    OptionalLong lastReported =
        last == null ? OptionalLong.empty() : OptionalLong.of(current + last);

    assertThat(
            UsageReportQueue.firstWindow(
                WINDOWS, current + start, lastReported, WINDOWS.startMs(current)))
        .isEqualTo(current + expected);
  }
}
