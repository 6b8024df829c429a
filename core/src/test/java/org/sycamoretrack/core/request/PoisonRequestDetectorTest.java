package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.core.request.PoisonRequestDetector.Verdict.HOLD;
import static org.sycamoretrack.core.request.PoisonRequestDetector.Verdict.QUARANTINED;
import static org.sycamoretrack.core.request.PoisonRequestDetector.Verdict.RUN;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link PoisonRequestDetector}. */
class PoisonRequestDetectorTest {
  private static final long QUARANTINE_MS = 60_000;
  private static final long CRASH_TTL_MS = 600_000;

  private final PoisonRequestDetector detector =
      new PoisonRequestDetector(QUARANTINE_MS, CRASH_TTL_MS);

  @Test
  void secondCrashQuarantinesForABoundedTime() {
    detector.onStart("p", "x");
    assertThat(detector.onEndpointCrash("x", "x@1", 1_000)).hasSize(1);
    assertThat(detector.verdict("p", "y", 1_000)).isEqualTo(RUN);
    detector.onStart("p", "y");
    detector.onEndpointCrash("y", "y@1", 2_000);
    assertThat(detector.verdict("p", "z", 2_000 + QUARANTINE_MS - 1)).isEqualTo(QUARANTINED);
    assertThat(detector.quarantined(2_000)).containsExactly("p");
    detector.expire(2_000 + QUARANTINE_MS);
    assertThat(detector.verdict("p", "z", 2_000 + QUARANTINE_MS)).isEqualTo(RUN);
  }

  @Test
  void suspectsDoNotShareAnEndpoint() {
    detector.onStart("p", "x");
    detector.onStart("a", "x");
    detector.onEndpointCrash("x", "x@1", 0);
    detector.onStart("a", "y");
    assertThat(detector.verdict("p", "y", 0)).isEqualTo(HOLD);
    assertThat(detector.verdict("p", "z", 0)).isEqualTo(RUN);
    assertThat(detector.verdict("fresh", "y", 0)).isEqualTo(RUN);
    detector.onSuccess("a", "y", 0);
    assertThat(detector.isSuspect("a", 0)).isFalse();
    assertThat(detector.verdict("p", "y", 0)).isEqualTo(RUN);
  }

  @Test
  void crashIsAttributedToRequestsThatEndedBefore() {
    assertThat(detector.onEndpointCrash("x", Set.of("p"), "x@1", 0)).hasSize(1);
    detector.onStart("p", "y");
    assertThat(detector.onEndpointCrash("y", Set.of("p"), "y@1", 1)).hasSize(1);
    assertThat(detector.isQuarantined("p", 1)).isTrue();
  }

  /**
   * Guards against quarantining a sound request: the report of a crash that a success had cleared
   * arrived again, and counted beside a later crash.
   */
  @Test
  void reportOfAClearedCrashDoesNotCountAgain() {
    detector.onStart("a", "x");
    PoisonRequestDetector.CrashRecord crashRecord =
        detector.onEndpointCrash("x", "x@1", 0).getFirst();
    detector.onStart("a", "y");
    detector.onSuccess("a", "y", 100);

    detector.merge(crashRecord);
    assertThat(detector.isSuspect("a", 200)).isFalse();
    detector.onStart("a", "z");
    detector.onEndpointCrash("z", "z@1", 5_000);
    detector.merge(crashRecord);
    assertThat(detector.isQuarantined("a", 5_000)).isFalse();
    assertThat(detector.isSuspect("a", 5_000)).isTrue();
  }

  @Test
  void repeatedReportsOfOneCrashCountOnce() {
    detector.onStart("p", "x");
    PoisonRequestDetector.CrashRecord crashRecord =
        detector.onEndpointCrash("x", "x@1", 0).getFirst();
    detector.merge(crashRecord);
    assertThat(detector.isQuarantined("p", 0)).isFalse();
    detector.merge(new PoisonRequestDetector.CrashRecord("p", "y", "b", "y@1", 5));
    assertThat(detector.isQuarantined("p", 5)).isTrue();
  }

  @Test
  void successOfAnotherRunDoesNotLiftAQuarantine() {
    detector.onStart("p", "x");
    detector.onEndpointCrash("x", "x@1", 0);
    detector.merge(new PoisonRequestDetector.CrashRecord("p", "y", "b", "y@1", 5));
    detector.onSuccess("p", "z", 6);
    assertThat(detector.isQuarantined("p", 6)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"x, 5, false", "x, 999, false", "x, 1000, true", "y, 5, true"})
  void crashSeenByTwoNodesCountsOnce(String endpoint, long atMs, boolean quarantined) {
    detector.onStart("p", "x");
    detector.onEndpointCrash("x", "a/x/1", 0);

    detector.merge(
        new PoisonRequestDetector.CrashRecord("p", endpoint, "b", "b/" + endpoint + "/1", atMs));

    assertThat(detector.isQuarantined("p", atMs + 1)).isEqualTo(quarantined);
  }

  /**
   * Guards against quarantining harmless requests that ran beside a poison request. One poison
   * request and 39 harmless ones run until all others have ended; only the poison request crashes
   * endpoints.
   */
  @Property(tries = 200)
  void onlyThePoisonRequestIsQuarantined(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PoisonRequestDetector requestDetector = new PoisonRequestDetector(QUARANTINE_MS, CRASH_TTL_MS);
    Deque<String> waiting = new ArrayDeque<>();
    for (int i = 0; i < 40; i++) {
      waiting.add(i == 17 ? "poison" : "harmless-" + i);
    }
    Map<String, List<String>> running = new HashMap<>();
    int crashes = 0;
    for (int round = 0; round < 4_000 && !(waiting.isEmpty() && running.isEmpty()); round++) {
      String endpoint = "e" + random.nextInt(4);
      if (random.nextBoolean() && !waiting.isEmpty()) {
        String request = waiting.poll();
        switch (requestDetector.verdict(request, endpoint, round)) {
          case RUN -> {
            requestDetector.onStart(request, endpoint);
            running.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(request);
          }
          case HOLD -> waiting.add(request);
          default -> assertThat(request).isEqualTo("poison");
        }
      } else if (running.containsKey(endpoint)) {
        List<String> batch = running.get(endpoint);
        String request = batch.get(random.nextInt(batch.size()));
        if (request.equals("poison")) {
          requestDetector.onEndpointCrash(endpoint, "crash-" + crashes++, round);
          waiting.addAll(running.remove(endpoint));
        } else {
          requestDetector.onSuccess(request, endpoint, round);
          batch.remove(request);
          if (batch.isEmpty()) {
            running.remove(endpoint);
          }
        }
      }
    }
    assertThat(crashes).isEqualTo(2);
    assertThat(requestDetector.quarantined(0)).containsExactly("poison");
    assertThat(waiting).isEmpty();
  }
}
