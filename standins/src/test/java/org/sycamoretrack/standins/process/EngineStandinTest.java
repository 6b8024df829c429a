package org.sycamoretrack.standins.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.standins.process.StandinClient.Completion;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests of {@link EngineStandin}. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class EngineStandinTest {
  private static final int MEDIAN_TOKENS = 64;

  private final StandinClient client = new StandinClient();
  private EngineStandin engine;

  @AfterEach
  void stop() {
    client.close();
    engine.close();
  }

  private static EngineSettings.Builder fastSettings() {
    return EngineSettings.builder().medianTokens(MEDIAN_TOKENS).tokens(0, 8).load(1, 1);
  }

  private void start(EngineSettings.Builder settings) {
    engine = EngineStandin.start(0, settings.build());
  }

  private static String request(String prompt, int maxTokens, String extraFields) {
    return "{'prompt':'"
        + prompt
        + "','max_tokens':"
        + maxTokens
        + ",'seed':7,'stream':true"
        + extraFields
        + "}";
  }

  /** The kernel may accept connections until the event loop has released the closed socket. */
  @RepeatedTest(50)
  void aCrashedEngineAcceptsNoConnection() {
    start(fastSettings());
    engine.crash().join();

    assertThatThrownBy(() -> new Socket(engine.address().getAddress(), engine.address().getPort()))
        .isInstanceOf(ConnectException.class);
  }

  @ParameterizedTest
  @CsvSource({"0, 1", "0, 64", "50, 3"})
  void outputDependsOnPromptAndSeedOnly(int tokenTimeUs, int tokensPerChunk) {
    start(fastSettings().tokens(tokenTimeUs, tokensPerChunk));
    CompletableFuture<Completion> other =
        client.complete(engine.address(), request("other", 500, ""));
    SimulatedCompletion expected = new SimulatedCompletion("prompt", 7, MEDIAN_TOKENS);
    Completion response = client.complete(engine.address(), request("prompt", 1_000, "")).join();
    assertThat(response.done()).isTrue();
    assertThat(response.text()).isEqualTo(expected.text(expected.naturalTokens()));
    assertThat(other.join().done()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 8, 17, 40})
  void continuedResponseEqualsUninterruptedOne(int tokens) {
    start(fastSettings().medianTokens(0));
    SimulatedCompletion completion = new SimulatedCompletion("prompt", 7, 0);
    String continueFrom =
        ",'continue_from':{'text':'" + completion.text(tokens) + "','tokens':" + tokens + "}";
    Completion rest = client.complete(engine.address(), request("prompt", 40, continueFrom)).join();
    assertThat(completion.text(tokens) + rest.text()).isEqualTo(completion.text(40));
  }

  @Test
  void rejectsContinuationOfForeignText() {
    start(fastSettings());
    String continueFrom = ",'continue_from':{'text':' wrong','tokens':1}";
    HttpResponse response =
        client.call(
            "POST", engine.address(), "/v1/completions", request("prompt", 9, continueFrom));
    assertThat(response.status()).isEqualTo(400);
  }

  private HttpResponse sendLoadCommand(int version, int fence) {
    return client.call(
        "POST",
        engine.address(),
        "/orders",
        "{'orderId':'o','order':'load-weights','version':"
            + version
            + ",'fence':"
            + fence
            + ",'node':'n'}");
  }

  private JsonNode weights() {
    return client.get(engine.address(), "/weights");
  }

  @Test
  void chunksAfterWeightSwapNameNewVersion() {
    start(fastSettings().tokens(1_000, 1).medianTokens(0).load(50, 1));
    CompletableFuture<Completion> response =
        client.complete(engine.address(), request("prompt", 300, ""));
    StandinClient.pollUntil(() -> engine.journal().count() == 1);
    sendLoadCommand(2, 1);
    Completion completion = response.join();
    assertThat(completion.versions()).containsOnly(1, 2).isSorted();
    assertThat(completion.text()).isEqualTo(new SimulatedCompletion("prompt", 7, 0).text(300));
  }

  @ParameterizedTest
  @CsvSource({"true, 4, 409", "true, 5, 202", "true, 6, 202", "false, 4, 202", "false, 6, 202"})
  void staleFenceIsRejectedWhenChecked(boolean checksFence, int fence, int status) {
    start(fastSettings().checksFence(checksFence));
    sendLoadCommand(2, 5);
    assertThat(sendLoadCommand(3, fence).status()).isEqualTo(status);
    assertThat(weights().path("fence").asInt()).isEqualTo(Math.max(5, status == 202 ? fence : 5));
  }

  @ParameterizedTest
  @CsvSource({
    "LOAD_FAILS,       1, null, 1",
    "LOAD_PARTIAL,     1, 2,    1",
    "LOAD_MISREPORTED, 2, null, 1"
  })
  void loadFaultsHaveDistinctEffects(FaultKind kind, int reported, String loading, int served) {
    start(fastSettings());
    engine.faults().add(Fault.builder(kind).times(1).build());
    sendLoadCommand(2, 1);
    StandinClient.pollUntil(() -> engine.faults().occurred() > 0);
    JsonNode weights = weights();
    assertThat(weights.path("version").asInt()).isEqualTo(reported);
    assertThat(weights.path("loading").asText()).isEqualTo(loading);
    Completion response = client.complete(engine.address(), request("prompt", 4, "")).join();
    assertThat(response.versions()).containsOnly(served);
  }

  @Test
  void loadRejectedByRateLimitHasNoEffect() {
    try (PlatformStandin platform = PlatformStandin.builder().fetchLimit(0.001, 1).start()) {
      platform.weights().publish("model", 2);
      platform.weights().publish("model", 3);
      start(fastSettings().weightStore(platform.address()));
      sendLoadCommand(2, 1);
      StandinClient.pollUntil(() -> weights().path("version").asInt() == 2);
      sendLoadCommand(3, 1);
      StandinClient.pollUntil(() -> weights().path("loading").isNull());
      assertThat(weights().path("version").asInt()).isEqualTo(2);
      assertThat(platform.weights().refusals()).isEqualTo(1);
    }
  }

  @Test
  void crashAbortsStreamsAndRestartServesInitialVersion() {
    start(fastSettings().tokens(1_000, 1).medianTokens(0));
    sendLoadCommand(2, 1);
    StandinClient.pollUntil(() -> weights().path("version").asInt() == 2);
    CompletableFuture<Completion> response =
        client.complete(engine.address(), request("prompt", 10_000, ""));
    StandinClient.pollUntil(() -> engine.journal().count() == 1);
    engine.crash().join();
    assertThatThrownBy(response::join).hasCauseInstanceOf(HttpException.class);
    assertThatThrownBy(this::weights).hasCauseInstanceOf(HttpException.class);
    engine.restart().join();
    assertThat(weights().path("version").asInt()).isEqualTo(1);
    assertThat(weights().path("fence").asInt()).isEqualTo(1);
  }

  @Test
  void poisonPromptAbortsAllStreamsOfBatch() {
    start(fastSettings().tokens(1_000, 1).medianTokens(0).restartTimeMs(1));
    engine.faults().add(Fault.builder(FaultKind.POISON).prompt("bad").build());
    CompletableFuture<Completion> otherStream =
        client.complete(engine.address(), request("good", 10_000, ""));
    CompletableFuture<Completion> poison =
        client.complete(engine.address(), request("a bad one", 10, ""));
    assertThatThrownBy(otherStream::join).hasCauseInstanceOf(HttpException.class);
    assertThatThrownBy(poison::join).hasCauseInstanceOf(HttpException.class);
  }

  @Test
  void cancelledStreamIsRemovedFromBatch() {
    start(fastSettings().tokens(1_000, 1).medianTokens(0).reportLagMs(0));
    CompletableFuture<Completion> response =
        client.complete(engine.address(), request("prompt", 10_000, ""));
    StandinClient.pollUntil(() -> engine.journal().count() == 1);
    String id = engine.journal().toJson(0).at("/0/requestId").asText();
    client.call("DELETE", engine.address(), "/v1/requests/" + id, "");
    assertThatThrownBy(response::join).hasCauseInstanceOf(HttpException.class);
    assertThat(client.get(engine.address(), "/load").path("running").asInt()).isZero();
    assertThat(engine.journal().toJson(0).at("/0/outcome").asText()).isEqualTo("cancelled");
  }

  @ParameterizedTest
  @CsvSource({"truncated", "malformed"})
  void faultyStreamsLackEndMarker(String kind) {
    start(fastSettings().medianTokens(0));
    engine.faults().add(Fault.builder(FaultKind.ofWireName(kind)).path("/v1").build());
    HttpResponse response =
        client.call("POST", engine.address(), "/v1/completions", request("prompt", 400, ""));
    assertThat(new String(response.body(), java.nio.charset.StandardCharsets.UTF_8))
        .doesNotContain("[DONE]");
  }

  @Test
  void cacheEventsArePublishedWithGaps() {
    start(fastSettings().reportLagMs(0));
    String prompt = "x".repeat(64 * 20);
    client.complete(engine.address(), request(prompt, 4, "")).join();
    JsonNode events = client.get(engine.address(), "/cache-events?after=0").path("events");
    assertThat(events).hasSize(18);
    client.complete(engine.address(), request(prompt, 4, "")).join();
    assertThat(client.get(engine.address(), "/cache-events?after=20").path("events")).isEmpty();
  }
}
