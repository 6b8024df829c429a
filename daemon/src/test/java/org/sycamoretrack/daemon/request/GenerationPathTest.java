package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.standins.process.EngineSettings;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.request.SimulatedCompletion;

/**
 * Tests of dispatch, resumption and quarantine with failing engine stand-ins: guards against lost,
 * repeated or stale tokens when an engine crashes or a stream breaks, and against requests that
 * crash every engine.
 */
@Timeout(60)
class GenerationPathTest {
  private static String expectedText(String prompt, long seed) {
    SimulatedCompletion whole = new SimulatedCompletion(prompt, seed, EngineFixture.MEDIAN_TOKENS);
    return whole.text(Math.min(1_000, whole.naturalTokens()));
  }

  private static EngineSettings.Builder fast() {
    return EngineSettings.builder().tokens(500, 4);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void responsesAreCompleteAndNameTheirVersion(long seed) {
    try (EngineFixture fixture = new EngineFixture(2, fast())) {
      var collected = fixture.generate(EngineFixture.request("p", seed).build());
      assertThat(collected.end.join()).isIn("stop", "length");
      assertThat(collected.text.toString()).isEqualTo(expectedText("p", seed));
      assertThat(collected.spans()).extracting("version").containsExactly(7L);
    }
  }

  @Test
  void requestsOfACrashedEngineContinueOnAnother() {
    try (EngineFixture fixture = new EngineFixture(2, EngineSettings.builder().tokens(2_000, 2))) {
      List<EngineFixture.CollectingListener> all = new ArrayList<>();
      for (long seed = 0; seed < 20; seed++) {
        all.add(fixture.generate(EngineFixture.request("p" + seed, seed).build()));
      }
      all.forEach(collected -> collected.firstTokens.join());
      fixture.engines.get(0).crash().join();
      for (int seed = 0; seed < 20; seed++) {
        all.get(seed).end.join();
        assertThat(all.get(seed).text.toString()).isEqualTo(expectedText("p" + seed, seed));
      }
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {"CUT_OFF", "TRUNCATED", "MALFORMED", "REFUSED", "OUTAGE", "LOST_ANSWER"})
  void interruptedResponseIsContinued(FaultKind kind) {
    try (EngineFixture fixture = new EngineFixture(2, fast())) {
      for (var engine : fixture.engines) {
        engine
            .faults()
            .add(Fault.builder(kind).path("/v1/completions").times(1).afterChunks(2).build());
      }
      var collected = fixture.generate(EngineFixture.request("p", 11).build());
      collected.end.join();
      assertThat(collected.text.toString()).isEqualTo(expectedText("p", 11));
    }
  }

  @Test
  void nonRepeatableRequestThatMayHaveRunIsNotRetried() {
    try (EngineFixture fixture = new EngineFixture(2, fast())) {
      for (var engine : fixture.engines) {
        engine
            .faults()
            .add(Fault.builder(FaultKind.LOST_ANSWER).path("/v1/completions").times(1).build());
      }
      var collected = fixture.generate(EngineFixture.request("p", 11).repeatable(false).build());
      assertThatThrownBy(() -> collected.end.join())
          .cause()
          .isInstanceOfSatisfying(
              SycamoreException.class,
              error -> assertThat(error.outcome()).isNotEqualTo(ExecutionOutcome.NOT_RUN));
      long runs = fixture.engines.stream().mapToLong(engine -> engine.journal().count()).sum();
      assertThat(runs).isEqualTo(1);
    }
  }

  @Test
  void poisonRequestCrashesAtMostTwoEnginesAndOthersComplete() {
    try (EngineFixture fixture = new EngineFixture(4, EngineSettings.builder().tokens(2_000, 2))) {
      for (var engine : fixture.engines) {
        engine.faults().add(Fault.builder(FaultKind.POISON).prompt("poison").build());
      }
      List<EngineFixture.CollectingListener> others = new ArrayList<>();
      for (long seed = 0; seed < 24; seed++) {
        others.add(fixture.generate(EngineFixture.request("n" + seed, seed).build()));
      }
      others.forEach(collected -> collected.firstTokens.join());
      for (int sent = 0; sent < 5; sent++) {
        var poison =
            fixture.generate(
                EngineFixture.request("poison", 99).requestClass(RequestClass.INTERACTIVE).build());
        assertThatThrownBy(() -> poison.end.get(20, TimeUnit.SECONDS))
            .cause()
            .isInstanceOfSatisfying(
                SycamoreException.class,
                error -> assertThat(error.code()).isEqualTo(ErrorCode.QUARANTINED));
      }
      for (int seed = 0; seed < 24; seed++) {
        others.get(seed).end.join();
        assertThat(others.get(seed).text.toString()).isEqualTo(expectedText("n" + seed, seed));
      }
      assertThat(fixture.poison.quarantined()).hasSize(1);
    }
  }

  /**
   * Guards against a sample that is never generated: engines crashed one after the other under the
   * same one by chance, and it was refused for 10 minutes when all was calm again.
   */
  @Test
  void sampleUnderWhichEnginesCrashedIsStillGenerated() {
    try (EngineFixture fixture = new EngineFixture(2, fast())) {
      for (var engine : fixture.engines) {
        engine.faults().add(Fault.builder(FaultKind.POISON).prompt("unlucky").times(2).build());
      }
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (System.nanoTime() < endNanos) {
        var collected = fixture.generate(EngineFixture.request("unlucky", 5).build());
        try {
          collected.end.get(20, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
          assertThat(e.getCause())
              .isInstanceOfSatisfying(
                  SycamoreException.class,
                  error -> assertThat(error.code()).isNotEqualTo(ErrorCode.QUARANTINED));
          continue;
        } catch (InterruptedException | TimeoutException e) {
          throw new AssertionError(e);
        }
        assertThat(collected.text.toString()).isEqualTo(expectedText("unlucky", 5));
        assertThat(fixture.poison.quarantined()).isEmpty();
        return;
      }
      throw new AssertionError("the sample was not generated");
    }
  }

  @Test
  void requestWithoutAnEndpointInServiceIsRefusedAsNotRun() {
    try (EngineFixture fixture = new EngineFixture(1, fast())) {
      fixture.inService = index -> false;
      var collected = fixture.generate(EngineFixture.request("p", 1).build());
      assertThatThrownBy(() -> collected.end.join())
          .cause()
          .isInstanceOfSatisfying(
              SycamoreException.class,
              error -> {
                assertThat(error.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
                assertThat(error.outcome()).isEqualTo(ExecutionOutcome.NOT_RUN);
              });
    }
  }

  @Test
  void endpointsWithOldWeightsAreNotUsed() {
    try (EngineFixture fixture = new EngineFixture(1, fast())) {
      fixture.servedVersion = 9;
      var collected =
          fixture.generate(
              EngineFixture.request("p", 1)
                  .oldestVersion(8)
                  .deadlineNanos(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500))
                  .build());
      assertThatThrownBy(() -> collected.end.join()).hasCauseInstanceOf(SycamoreException.class);
      assertThat(collected.spans()).isEmpty();
    }
  }

  @Test
  void movedRequestContinuesFromItsTokens() {
    try (EngineFixture fixture = new EngineFixture(2, EngineSettings.builder().tokens(4_000, 1))) {
      var collected = fixture.generate(EngineFixture.request("p", 3).build());
      collected.firstTokens.join();
      String from = collected.generation.endpoint();
      collected.generation.moveTo(from.equals("e0") ? "e1" : "e0");
      collected.end.join();
      assertThat(collected.text.toString()).isEqualTo(expectedText("p", 3));
      assertThat(collected.generation.endpoint()).isNotEqualTo(from);
    }
  }
}
