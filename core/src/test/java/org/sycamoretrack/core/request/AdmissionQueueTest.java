package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.core.request.RequestClass.INTERACTIVE;
import static org.sycamoretrack.core.request.RequestClass.ROLLOUT;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of {@link AdmissionQueue}. */
class AdmissionQueueTest {
  private static final QueueFlow TRACK = QueueFlow.of("cut-patterns");
  private static final long NEVER_MS = Long.MAX_VALUE;

  private final AdmissionQueue<String> queue =
      AdmissionQueue.builder()
          .interactiveCapacity(20)
          .rolloutCapacity(400)
          .reserveShare(0.25)
          .interactiveWeight(3)
          .ageingMs(1_000)
          .build();

  private void offer(String item, RequestClass requestClass, QueueFlow flow, long nowMs) {
    assertThat(queue.offer(item, requestClass, flow, 10, NEVER_MS, nowMs)).isTrue();
  }

  private String pollAdmitted(long nowMs, InFlightCounts inFlight, int limit) {
    return queue.poll(nowMs, inFlight, limit) instanceof AdmissionResult.Admitted<String> admitted
        ? admitted.item()
        : null;
  }

  @ParameterizedTest
  @CsvSource({
    // interactive, rollout, limit, expected
    "0, 0, 8, short",
    "0, 6, 8, short",
    "1, 7, 8, short",
    "2, 6, 8, ",
    "0, 9, 8, short",
    "2, 9, 8, ",
    "8, 0, 8, ",
  })
  void interactiveWorkHasReservedSlots(int interactive, int rollout, int limit, String expected) {
    offer("short", INTERACTIVE, TRACK, 0);
    assertThat(pollAdmitted(0, new InFlightCounts(interactive, rollout), limit))
        .isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"0, 0, 8, long", "0, 5, 8, long", "0, 6, 8, ", "4, 4, 8, ", "0, 0, 1, long"})
  void rolloutWorkLeavesTheReserveFree(int interactive, int rollout, int limit, String expected) {
    offer("long", ROLLOUT, TRACK, 0);
    assertThat(pollAdmitted(0, new InFlightCounts(interactive, rollout), limit))
        .isEqualTo(expected);
  }

  @Test
  void agedRolloutWorkStartsOncePerInteractiveWeight() {
    offer("old", ROLLOUT, TRACK, 0);
    offer("older", ROLLOUT, TRACK, 0);
    for (int i = 0; i < 8; i++) {
      offer("s" + i, INTERACTIVE, TRACK, 0);
    }
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      order.add(pollAdmitted(1_000, InFlightCounts.NONE, 8));
    }
    assertThat(order).containsExactly("s0", "s1", "s2", "old", "s3", "s4", "s5", "older");
  }

  @Test
  void youngRolloutWorkWaitsForAllInteractiveWork() {
    offer("long", ROLLOUT, TRACK, 0);
    for (int i = 0; i < 8; i++) {
      offer("s" + i, INTERACTIVE, TRACK, 0);
    }
    for (int i = 0; i < 8; i++) {
      assertThat(pollAdmitted(999, InFlightCounts.NONE, 8)).startsWith("s");
    }
    assertThat(pollAdmitted(999, InFlightCounts.NONE, 8)).isEqualTo("long");
  }

  @ParameterizedTest
  @EnumSource(RequestClass.class)
  void expiredEntriesLeaveWithoutAFreeSlot(RequestClass requestClass) {
    queue.offer("late", requestClass, TRACK, 10, 500, 0);
    assertThat(queue.nextDeadlineMs()).isEqualTo(500);
    assertThat(queue.poll(499, new InFlightCounts(8, 8), 8))
        .isInstanceOf(AdmissionResult.NoneReady.class);
    assertThat(queue.poll(500, new InFlightCounts(8, 8), 8))
        .isEqualTo(new AdmissionResult.Expired<>("late", requestClass, 500));
    assertThat(queue.size()).isZero();
  }

  @Test
  void capacityIsEnforcedPerClass() {
    for (int i = 0; i < 20; i++) {
      offer("s" + i, INTERACTIVE, TRACK, 0);
    }
    assertThat(queue.offer("one more", INTERACTIVE, TRACK, 1, NEVER_MS, 0)).isFalse();
    offer("long", ROLLOUT, TRACK, 0);
    assertThat(queue.offer("long", ROLLOUT, TRACK, 1, NEVER_MS, 0)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "1, 3", "2, 1"})
  void flowsReceiveTokensInProportionToTheirWeights(double weightA, double weightB) {
    for (int i = 0; i < 150; i++) {
      // Entries of flow a are twice as large, to check that weights apply to tokens, not entries.
      queue.offer("a" + i, ROLLOUT, new QueueFlow("a", weightA), 20, NEVER_MS, 0);
      queue.offer("b" + i, ROLLOUT, new QueueFlow("b", weightB), 10, NEVER_MS, 0);
    }
    int tokensA = 0;
    int tokensB = 0;
    for (int i = 0; i < 100; i++) {
      if (pollAdmitted(0, InFlightCounts.NONE, 8).startsWith("a")) {
        tokensA += 20;
      } else {
        tokensB += 10;
      }
    }
    assertThat(tokensA / weightA - tokensB / weightB).isBetween(-20.0, 20.0);
  }

  @Test
  void idleFlowAccumulatesNoCredit() {
    for (int i = 0; i < 20; i++) {
      offer("a" + i, ROLLOUT, QueueFlow.of("a"), 0);
      pollAdmitted(0, InFlightCounts.NONE, 8);
    }
    for (int i = 0; i < 10; i++) {
      offer("x" + i, ROLLOUT, QueueFlow.of("a"), 0);
      offer("y" + i, ROLLOUT, QueueFlow.of("b"), 0);
    }
    List<String> firstFour = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      firstFour.add(pollAdmitted(0, InFlightCounts.NONE, 8).substring(0, 1));
    }
    assertThat(firstFour.stream().filter("y"::equals).count()).isBetween(2L, 3L);
  }

  @Test
  void lowerRankGoesFirstInsideAFlow() {
    queue.offer("step 13", ROLLOUT, TRACK, 1, NEVER_MS, 0, 13);
    queue.offer("step 12", ROLLOUT, TRACK, 1, NEVER_MS, 0, 12);
    assertThat(pollAdmitted(0, InFlightCounts.NONE, 8)).isEqualTo("step 12");
  }

  @Test
  void removedItemsAreNeverPolled() {
    offer("gone", ROLLOUT, TRACK, 0);
    assertThat(queue.remove("gone")).isTrue();
    assertThat(queue.remove("gone")).isFalse();
    assertThat(queue.poll(0, InFlightCounts.NONE, 8)).isInstanceOf(AdmissionResult.NoneReady.class);
    assertThat(queue.queuedTokens()).isZero();
  }

  /**
   * Guards against items that are lost, returned twice or admitted above the limit in some order of
   * offers, removals, expiries and polls.
   */
  @Property(tries = 200)
  void everyItemLeavesOnce(
      @ForAll @Size(max = 120) List<@IntRange(max = 999) Integer> events,
      @ForAll @IntRange(min = 1, max = 12) int limit) {
    AdmissionQueue<Integer> bounded =
        AdmissionQueue.builder().interactiveCapacity(10).rolloutCapacity(10).build();
    Set<Integer> queued = new HashSet<>();
    InFlightCounts inFlight = InFlightCounts.NONE;
    int nextItem = 0;
    long nowMs = 0;
    for (int event : events) {
      nowMs += event % 7;
      RequestClass requestClass = event % 2 == 0 ? INTERACTIVE : ROLLOUT;
      if (event % 5 < 3) {
        long deadlineMs = nowMs + event % 40;
        if (bounded.offer(
            nextItem, requestClass, QueueFlow.of("f" + event % 3), 5, deadlineMs, nowMs)) {
          queued.add(nextItem);
        }
        nextItem++;
      } else if (event % 5 == 3) {
        assertThat(bounded.remove(event % 50)).isEqualTo(queued.remove(event % 50));
      } else {
        inFlight = InFlightCounts.NONE;
      }
      boolean more = true;
      while (more) {
        switch (bounded.poll(nowMs, inFlight, limit)) {
          case AdmissionResult.Admitted<Integer> admitted -> {
            assertThat(queued.remove(admitted.item())).isTrue();
            inFlight = inFlight.plus(admitted.requestClass());
          }
          case AdmissionResult.Expired<Integer> expired ->
              assertThat(queued.remove(expired.item())).isTrue();
          case AdmissionResult.NoneReady<Integer> nothing -> more = false;
        }
      }
      assertThat(inFlight.rollout()).isLessThanOrEqualTo(limit);
      assertThat(inFlight.total()).isLessThanOrEqualTo(limit + bounded.reservedSlots(limit));
      assertThat(bounded.size()).isEqualTo(queued.size());
    }
  }
}
