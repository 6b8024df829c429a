package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.request.GroupSpec;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.SlotBitmap;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.standins.process.EngineSettings;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Tests that {@link StepRunner} delivers every slot once and no stale sample, although the trainer
 * loses responses, engines crash, and steps are restored by a new owner.
 */
@Timeout(60)
class StepRunnerTest {
  private static final StepSpec SPEC =
      new StepSpec(
          new StepId("track", 4),
          7,
          200,
          List.of(new GroupSpec("a", 24, 1), new GroupSpec("b", 24, 2)));

  private static StepServices services(
      EngineFixture fixture, TrackSettings settings, Scorer scorer) {
    return new StepServices(
        fixture.dispatcher,
        scorer,
        SampleSink.NONE,
        fixture::routes,
        track -> Optional.of(settings),
        new SampleMemoryBudget(1 << 20),
        fixture.metrics);
  }

  private static StepRunner start(EngineFixture fixture, List<Sample> restored) {
    return start(
        fixture,
        restored,
        null,
        (service, spec, sample, timeoutMs) ->
            CompletableFuture.completedFuture(new ScoreOutcome.NotRun("no scorer is set")));
  }

  private static StepRunner start(
      EngineFixture fixture, List<Sample> restored, String scorerName, Scorer scorer) {
    TrackSettings settings = new TrackSettings(List.of(EngineFixture.POOL), 1, scorerName);
    StepRunner runner =
        new StepRunner(SPEC, settings, services(fixture, settings, scorer), fixture.loops.next());
    runner.loop().execute(() -> runner.start(restored));
    return runner;
  }

  private static CompletableFuture<HttpResponse> poll(
      StepRunner runner, SlotBitmap received, long trainsVersion) {
    ObjectNode body =
        Json.object()
            .put("received", Base64.getEncoder().encodeToString(received.toBytes()))
            .put("trainsVersion", trainsVersion)
            .put("waitMs", 2_000)
            .put("maxSamples", 16);
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    CallMessage.Request request =
        new CallMessage.Request(
            1, "trainer", "POST", "/poll", new DefaultHttpHeaders(), Json.toBytes(body));
    ForwardedExchange exchange = new ForwardedExchange(request, runner.loop(), response::complete);
    runner
        .loop()
        .execute(
            () -> Router.handleSafely(call -> runner.poll(Json.toBytes(body), call), exchange));
    return response;
  }

  private static void check(JsonNode sample) {
    int slot = sample.path("slot").asInt();
    SimulatedCompletion expected =
        new SimulatedCompletion(
            SPEC.promptOf(slot), SPEC.seedOf(slot), EngineFixture.MEDIAN_TOKENS);
    assertThat(sample.path("text").asText())
        .isEqualTo(expected.text(Math.min(SPEC.maxTokens(), expected.naturalTokens())));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void deliversEverySlotOnceDespiteLostResponsesAndAnEngineCrash(long seed) throws Exception {
    Random random = new Random(seed);
    try (EngineFixture fixture = new EngineFixture(3, EngineSettings.builder().tokens(1_000, 2))) {
      StepRunner runner = start(fixture, List.of());
      SlotBitmap received = SlotBitmap.empty();
      Map<Integer, JsonNode> delivered = new TreeMap<>();
      boolean complete = false;
      boolean crashed = false;
      while (!complete) {
        CompletableFuture<HttpResponse> response = poll(runner, received, 7);
        if (random.nextInt(4) == 0) {
          continue;
        }
        JsonNode body = response.get(10, TimeUnit.SECONDS).json();
        if (random.nextInt(4) == 0) {
          continue;
        }
        for (JsonNode sample : body.path("samples")) {
          assertThat(delivered.put(sample.path("slot").asInt(), sample)).isNull();
          received = received.with(sample.path("slot").asInt());
          check(sample);
        }
        complete = body.path("complete").asBoolean();
        if (!crashed && delivered.size() > 4) {
          crashed = true;
          fixture.engines.get(0).crash().join();
        }
      }
      assertThat(delivered).hasSize(SPEC.slots());
      runner.loop().submit(runner::close).sync();
    }
  }

  /** S: scored, F: the service failed, N: not run, L: lost; the last outcome is repeated. */
  @ParameterizedTest
  @CsvSource({"S, 0.5", "NLFS, 0.5", "LLS, 0.5", "F,"})
  void samplesAreDeliveredWithTheirScoreOrAfterRepeatedErrorsWithoutOne(
      String outcomes, Double score) throws Exception {
    Map<Integer, Integer> calls = new ConcurrentHashMap<>();
    Scorer scorer =
        (service, spec, sample, timeoutMs) -> {
          int call = calls.merge(sample.slot(), 1, Integer::sum);
          char code = outcomes.charAt(Math.min(call, outcomes.length()) - 1);
          return CompletableFuture.completedFuture(
              switch (code) {
                case 'S' -> new ScoreOutcome.Scored("0.5");
                case 'F' -> new ScoreOutcome.Failed("status 500");
                case 'N' -> new ScoreOutcome.NotRun("full");
                default -> new ScoreOutcome.Lost("reset");
              });
        };
    try (EngineFixture fixture = new EngineFixture(2, EngineSettings.builder().tokens(100, 8))) {
      StepRunner runner = start(fixture, List.of(), "scoring", scorer);
      SlotBitmap received = SlotBitmap.empty();
      boolean complete = false;
      while (!complete) {
        JsonNode body = poll(runner, received, 7).get(10, TimeUnit.SECONDS).json();
        for (JsonNode sample : body.path("samples")) {
          received = received.with(sample.path("slot").asInt());
          JsonNode delivered = sample.path("score");
          assertThat(delivered.isNull() ? null : Double.valueOf(delivered.asDouble()))
              .isEqualTo(score);
        }
        complete = body.path("complete").asBoolean();
      }
      assertThat(calls).hasSize(SPEC.slots());
      runner.loop().submit(runner::close).sync();
    }
  }

  @Test
  void restoredSamplesAreNotGeneratedAgain() throws Exception {
    try (EngineFixture fixture = new EngineFixture(1, EngineSettings.builder().tokens(200, 8))) {
      Sample restored =
          new Sample(5, "restored", 1, "stop", 1, null, List.of(new VersionSpan(7, 0, 1)));
      StepRunner runner = start(fixture, List.of(restored));
      JsonNode body = poll(runner, SlotBitmap.empty(), 7).get(5, TimeUnit.SECONDS).json();
      assertThat(body.path("samples"))
          .anySatisfy(sample -> assertThat(sample.path("text").asText()).isEqualTo("restored"));
      runner.loop().submit(runner::close).sync();
    }
  }

  @Test
  void aSampleThatBecameTooOldIsNeverDelivered() throws Exception {
    try (EngineFixture fixture = new EngineFixture(1, EngineSettings.builder().tokens(200, 8))) {
      Sample old = new Sample(5, "old", 1, "stop", 1, null, List.of(new VersionSpan(5, 0, 1)));
      StepRunner runner = start(fixture, List.of(old));
      JsonNode body = poll(runner, SlotBitmap.empty(), 7).get(5, TimeUnit.SECONDS).json();
      assertThat(body.path("samples"))
          .isNotEmpty()
          .noneSatisfy(sample -> assertThat(sample.path("text").asText()).isEqualTo("old"));
      runner.loop().submit(runner::close).sync();
    }
  }

  @Test
  void samplesThatQueueAtAFullEndpointMoveToAFreeOne() throws Exception {
    try (EngineFixture fixture =
        new EngineFixture(2, EngineSettings.builder().tokens(1_000, 4).batch(64, 1, 1_000))) {
      fixture.inService = index -> index == 0;
      StepRunner runner = start(fixture, List.of());
      poll(runner, SlotBitmap.empty(), 7).get(10, TimeUnit.SECONDS);
      fixture.inService = index -> true;
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (fixture.engines.get(1).journal().count() <= 8) {
        assertThat(System.nanoTime()).isLessThan(deadlineNanos);
        poll(runner, SlotBitmap.empty(), 7).get(10, TimeUnit.SECONDS);
      }
      runner.loop().submit(runner::close).sync();
    }
  }

  @Test
  void anOlderPollIsEndedByANewerOne() throws Exception {
    try (EngineFixture fixture = new EngineFixture(1, EngineSettings.builder().tokens(50_000, 1))) {
      StepRunner runner = start(fixture, List.of());
      CompletableFuture<HttpResponse> older = poll(runner, SlotBitmap.empty(), 7);
      CompletableFuture<HttpResponse> newer = poll(runner, SlotBitmap.empty(), 7);
      assertThat(older.get(1, TimeUnit.SECONDS).json().path("samples")).isEmpty();
      assertThat(newer.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
      runner.loop().submit(runner::close).sync();
    }
  }
}
