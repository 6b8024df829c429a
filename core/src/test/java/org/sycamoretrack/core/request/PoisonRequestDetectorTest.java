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

  private final PoisonRequestDetector registry =
      new PoisonRequestDetector(QUARANTINE_MS, CRASH_TTL_MS);

  @Test
  void secondCrashQuarantinesForABoundedTime() {
    registry.onStart("p", "x");
    assertThat(registry.onEndpointCrash("x", "x@1", 1_000)).hasSize(1);
    assertThat(registry.verdict("p", "y", 1_000)).isEqualTo(RUN);
    registry.onStart("p", "y");
    registry.onEndpointCrash("y", "y@1", 2_000);
    assertThat(registry.verdict("p", "z", 2_000 + QUARANTINE_MS - 1)).isEqualTo(QUARANTINED);
    assertThat(registry.quarantined(2_000)).containsExactly("p");
    registry.expire(2_000 + QUARANTINE_MS);
    assertThat(registry.verdict("p", "z", 2_000 + QUARANTINE_MS)).isEqualTo(RUN);
  }

  @Test
  void suspectsDoNotShareAnEndpoint() {
    registry.onStart("p", "x");
    registry.onStart("a", "x");
    registry.onEndpointCrash("x", "x@1", 0);
    registry.onStart("a", "y");
    assertThat(registry.verdict("p", "y", 0)).isEqualTo(HOLD);
    assertThat(registry.verdict("p", "z", 0)).isEqualTo(RUN);
    assertThat(registry.verdict("fresh", "y", 0)).isEqualTo(RUN);
    registry.onSuccess("a", "y", 0);
    assertThat(registry.isSuspect("a", 0)).isFalse();
    assertThat(registry.verdict("p", "y", 0)).isEqualTo(RUN);
  }

  @Test
  void repeatedReportsOfOneCrashCountOnce() {
    registry.onStart("p", "x");
    PoisonRequestDetector.CrashRecord charge = registry.onEndpointCrash("x", "x@1", 0).getFirst();
    registry.merge(charge);
    assertThat(registry.isQuarantined("p", 0)).isFalse();
    registry.merge(new PoisonRequestDetector.CrashRecord("p", "y", "b", "y@1", 5));
    assertThat(registry.isQuarantined("p", 5)).isTrue();
  }

  @Test
  void successOfAnotherRunDoesNotLiftAQuarantine() {
    registry.onStart("p", "x");
    registry.onEndpointCrash("x", "x@1", 0);
    registry.merge(new PoisonRequestDetector.CrashRecord("p", "y", "b", "y@1", 5));
    registry.onSuccess("p", "z", 6);
    assertThat(registry.isQuarantined("p", 6)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"x, 5, false", "x, 999, false", "x, 1000, true", "y, 5, true"})
  void crashSeenByTwoNodesCountsOnce(String endpoint, long atMs, boolean quarantined) {
    registry.onStart("p", "x");
    registry.onEndpointCrash("x", "a/x/1", 0);

    registry.merge(
        new PoisonRequestDetector.CrashRecord("p", endpoint, "b", "b/" + endpoint + "/1", atMs));

    assertThat(registry.isQuarantined("p", atMs + 1)).isEqualTo(quarantined);
  }

  /**
   * Guards against quarantining harmless requests that ran beside a poison request. One poison
   * request and 39 harmless ones run until all others have ended; only the poison request crashes
   * endpoints.
   */
  @Property(tries = 200)
  void onlyThePoisonRequestIsQuarantined(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PoisonRequestDetector poisonRegistry = new PoisonRequestDetector(QUARANTINE_MS, CRASH_TTL_MS);
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
        switch (poisonRegistry.verdict(request, endpoint, round)) {
          case RUN -> {
            poisonRegistry.onStart(request, endpoint);
            running.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(request);
          }
          case HOLD -> waiting.add(request);
          default -> assertThat(request).isEqualTo("poison");
        }
      } else if (running.containsKey(endpoint)) {
        List<String> batch = running.get(endpoint);
        String request = batch.get(random.nextInt(batch.size()));
        if (request.equals("poison")) {
          poisonRegistry.onEndpointCrash(endpoint, "crash-" + crashes++, round);
          waiting.addAll(running.remove(endpoint));
        } else {
          poisonRegistry.onSuccess(request, endpoint, round);
          batch.remove(request);
          if (batch.isEmpty()) {
            running.remove(endpoint);
          }
        }
      }
    }
    assertThat(crashes).isEqualTo(2);
    assertThat(poisonRegistry.quarantined(0)).containsExactly("poison");
    assertThat(waiting).isEmpty();
  }
}
