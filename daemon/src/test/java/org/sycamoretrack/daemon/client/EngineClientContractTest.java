package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.standins.process.EngineSettings;
import org.sycamoretrack.standins.process.EngineStandin;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.request.HttpCall;
import org.sycamoretrack.transport.request.HttpResponse;

/** Tests {@link HttpEngineClient} against the contract of {@link EngineClient}, with a stand-in. */
class EngineClientContractTest {
  private static final int MAX_TOKENS = 24;

  private final PlatformFixture fixture = new PlatformFixture();
  private final EngineStandin engine =
      EngineStandin.start(
          fixture.group,
          0,
          EngineSettings.builder().tokens(500, 4).load(20, 1).medianTokens(10_000).build());
  private final EngineClient client =
      new HttpEngineClient(fixture.client, PlatformFixture.TIMEOUT_MS);

  /** Collects the tokens and the end of a stream. */
  private static final class Collector implements EngineListener {
    final StringBuilder text = new StringBuilder();
    final CompletableFuture<String> finished = new CompletableFuture<>();
    final CompletableFuture<EngineFailure> failed = new CompletableFuture<>();
    final CountDownLatch firstTokens = new CountDownLatch(1);
    int tokens;
    long version;

    @Override
    public void onTokens(String part, int count, long weightVersion) {
      text.append(part);
      tokens += count;
      version = weightVersion;
      firstTokens.countDown();
    }

    @Override
    public void onFinished(String finishReason) {
      finished.complete(finishReason);
    }

    @Override
    public void onFailed(EngineFailure failure) {
      failed.complete(failure);
    }

    EngineFailure failure() {
      CompletableFuture.anyOf(finished, failed).orTimeout(10, TimeUnit.SECONDS).join();
      assertThat(finished).isNotDone();
      return failed.join();
    }
  }

  @AfterEach
  void stop() {
    engine.close();
    fixture.close();
  }

  private static CompletionRequest.Builder request() {
    return CompletionRequest.builder("r-1")
        .model("model")
        .prompt("cut pattern 12")
        .seed(4711)
        .maxTokens(MAX_TOKENS)
        .timeoutMs(2_000)
        .idleTimeoutMs(PlatformFixture.TIMEOUT_MS);
  }

  private Collector complete(InetSocketAddress address, CompletionRequest request) {
    Collector collector = new Collector();
    client.complete(address, request, null, collector);
    return collector;
  }

  private Collector completeWhole(CompletionRequest request) {
    Collector collector = complete(engine.address(), request);
    assertThat(PlatformFixture.get(collector.finished)).isEqualTo("length");
    return collector;
  }

  @Test
  void streamsTokensWithTheirVersion() {
    Collector whole = completeWhole(request().build());
    assertThat(whole.tokens).isEqualTo(MAX_TOKENS);
    assertThat(whole.version).isEqualTo(1);
    assertThat(whole.text).isNotEmpty();
  }

  @Test
  void continuesFromTheTokensGeneratedSoFar() {
    String text = completeWhole(request().build()).text.toString();
    Collector first = completeWhole(request().maxTokens(8).build());
    Collector rest = completeWhole(request().continueFrom(first.text.toString(), 8).build());
    assertThat(rest.tokens).isEqualTo(MAX_TOKENS - 8);
    assertThat(first.text.toString() + rest.text).isEqualTo(text);
  }

  /** {@code afterChunks} is the number of chunks sent before the fault. */
  @ParameterizedTest
  @CsvSource({
    "REFUSED, 0, REFUSED, NOT_RUN",
    "OUTAGE, 0, CLOSED_EARLY, UNKNOWN",
    "SLOW, 0, TIMED_OUT, UNKNOWN",
    "STALLED, 0, TIMED_OUT, UNKNOWN",
    "STALLED, 2, TIMED_OUT, RAN",
    "REORDERED, 2, TIMED_OUT, RAN",
    "LOST_ANSWER, 0, CLOSED_EARLY, UNKNOWN",
    "CUT_OFF, 0, CLOSED_EARLY, UNKNOWN",
    "CUT_OFF, 2, CLOSED_EARLY, RAN",
    "TRUNCATED, 0, CLOSED_EARLY, UNKNOWN",
    "TRUNCATED, 5, CLOSED_EARLY, RAN",
    "MALFORMED, 2, MALFORMED, RAN",
    "OVERSIZED, 2, TOO_LARGE, RAN",
  })
  void faultyStreamFails(
      FaultKind fault, int afterChunks, EngineFailure.Kind kind, ExecutionOutcome outcome) {
    engine
        .faults()
        .add(
            Fault.builder(fault)
                .path("/v1/completions")
                .times(1)
                .afterChunks(afterChunks)
                .delayMs(1_000)
                .sizeBytes(2 << 20)
                .build());
    EngineFailure failure = complete(engine.address(), request().build()).failure();
    assertThat(failure.kind()).isEqualTo(kind);
    assertThat(failure.outcome()).isEqualTo(outcome);
    assertThat(failure.maybeSent()).isTrue();
  }

  @Test
  void slowStreamCompletes() {
    engine
        .faults()
        .add(Fault.builder(FaultKind.SLOWED_ENGINE).factor(10).durationMs(60_000).build());
    assertThat(completeWhole(request().build()).tokens).isEqualTo(MAX_TOKENS);
  }

  @Test
  void requestToACrashedEngineIsNotRun() {
    PlatformFixture.get(engine.crash());
    EngineFailure failure = complete(engine.address(), request().build()).failure();
    assertThat(failure.kind()).isEqualTo(EngineFailure.Kind.CONNECT_FAILED);
    assertThat(failure.outcome()).isEqualTo(ExecutionOutcome.NOT_RUN);
    assertThat(failure.maybeSent()).isFalse();
  }

  @Test
  void engineCrashDuringAStreamIsReportedAsRan() throws InterruptedException {
    Collector collector =
        complete(engine.address(), request().maxTokens(9_000).timeoutMs(20_000).build());
    assertThat(collector.firstTokens.await(5, TimeUnit.SECONDS)).isTrue();
    PlatformFixture.get(engine.crash());
    EngineFailure failure = collector.failure();
    assertThat(failure.kind()).isEqualTo(EngineFailure.Kind.CLOSED_EARLY);
    assertThat(failure.outcome()).isEqualTo(ExecutionOutcome.RAN);
  }

  @Test
  void cancelledCallsFail() throws InterruptedException {
    Collector collector = new Collector();
    CompletionRequest request = request().maxTokens(9_000).timeoutMs(20_000).build();
    HttpCall call = client.complete(engine.address(), request, null, collector);
    assertThat(collector.firstTokens.await(5, TimeUnit.SECONDS)).isTrue();
    call.cancel();
    assertThat(collector.failure().kind()).isEqualTo(EngineFailure.Kind.CANCELLED);

    Collector other = complete(engine.address(), request);
    assertThat(other.firstTokens.await(5, TimeUnit.SECONDS)).isTrue();
    PlatformFixture.get(client.cancel(engine.address(), "r-1"));
    assertThat(other.failure().outcome()).isEqualTo(ExecutionOutcome.RAN);
  }

  /** Status and body of responses that are not valid streams. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          503 | {"error": {"code": "leaving", "outcome": "not-run"}} | REFUSED | NOT_RUN
          429 | {"error": {"code": "busy", "outcome": "not-run"}}    | REFUSED | NOT_RUN
          503 | {"error": {"code": "leaving", "outcome": "ran"}}     | ENGINE_ERROR | UNKNOWN
          503 | {"error": {"code": "leaving"}}                       | ENGINE_ERROR | UNKNOWN
          503 | not JSON                                             | ENGINE_ERROR | UNKNOWN
          500 | {"error": {"code": "broken", "outcome": "not-run"}}  | ENGINE_ERROR | UNKNOWN
          204 | ''                                                   | ENGINE_ERROR | UNKNOWN
          200 | data: [DONE]                                         | CLOSED_EARLY | UNKNOWN
          """)
  void onlyARefusalByTheEngineIsNotRun(
      int status, String body, EngineFailure.Kind kind, ExecutionOutcome outcome) {
    HttpResponse response =
        new HttpResponse(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
    try (HttpServer server = fixture.serve(exchange -> exchange.respond(response))) {
      EngineFailure failure = complete(server.address(), request().build()).failure();
      assertThat(failure.kind()).isEqualTo(kind);
      assertThat(failure.outcome()).isEqualTo(outcome);
    }
  }

  @Test
  void loadCommandsAreFenced() {
    assertThat(sendLoadCommand(2, 5)).isEqualTo(EngineClient.EngineLoadCommandResponse.ACCEPTED);
    assertThat(sendLoadCommand(3, 4)).isEqualTo(EngineClient.EngineLoadCommandResponse.STALE_FENCE);
    assertThat(PlatformFixture.get(client.weights(engine.address())).fence()).isEqualTo(5);
  }

  private EngineClient.EngineLoadCommandResponse sendLoadCommand(long version, long fence) {
    return PlatformFixture.get(
        client.sendLoadCommand(
            engine.address(),
            new EngineClient.EngineLoadCommand("o-" + fence, version, fence, "n-1")));
  }

  @Test
  void readsTheLoadReport() {
    EngineClient.EngineLoadReport load = PlatformFixture.get(client.loadReport(engine.address()));
    assertThat(load.weightVersion()).isEqualTo(1);
    assertThat(load.leaving()).isFalse();
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {
        "SLOW",
        "REFUSED",
        "OUTAGE",
        "LOST_ANSWER",
        "REORDERED",
        "CUT_OFF",
        "TRUNCATED",
        "MALFORMED",
        "OVERSIZED",
        "STALLED"
      })
  void faultyCallFails(FaultKind kind) {
    for (String path : new String[] {"/load", "/weights", "/orders"}) {
      engine.faults().add(PlatformFixture.singleFault(kind, path));
    }
    assertThat(PlatformFixture.failure(client.loadReport(engine.address())).code())
        .isEqualTo(ErrorCode.ENDPOINT_FAILED);
    PlatformFixture.failure(client.weights(engine.address()));
    EngineClient.EngineLoadCommand command = new EngineClient.EngineLoadCommand("o", 2, 1, "n");
    ExecutionOutcome outcome =
        PlatformFixture.failure(client.sendLoadCommand(engine.address(), command)).outcome();
    assertThat(outcome)
        .isEqualTo(kind == FaultKind.REFUSED ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.UNKNOWN);
  }
}
