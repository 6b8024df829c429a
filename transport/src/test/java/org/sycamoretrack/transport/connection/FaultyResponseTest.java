package org.sycamoretrack.transport.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.connection.MemoryBudget;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/** Checks {@link HttpClient} against servers that break off a response or never end it. */
class FaultyResponseTest {
  private static final int TIMEOUT_MS = 20_000;
  private static final int PART_BYTES = 1 << 16;
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final long BUDGET_BYTES = 4 << 20;

  private final EventLoopGroup group = EventLoops.start("test", 2);
  private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
  private final AtomicInteger strayResponses = new AtomicInteger();
  private final HttpClient client =
      new HttpClient(group, 1_000, response -> strayResponses.incrementAndGet(), budget);

  @AfterEach
  void stop() {
    EventLoops.stop(group);
  }

  private CompletableFuture<HttpResponse> call(
      RawServer server, int maxResponseBytes, boolean allowCloseDelimitedBody) {
    HttpRequest.Builder request =
        HttpRequest.builder("POST", server.address(), "/x")
            .header("x-id", "1")
            .echoedHeader("x-id")
            .timeoutMs(TIMEOUT_MS)
            .maxResponseBytes(maxResponseBytes);
    if (allowCloseDelimitedBody) {
      request.allowCloseDelimitedBody();
    }
    return client.call(request.build());
  }

  private static HttpException.Kind failureKind(CompletableFuture<HttpResponse> call) {
    Throwable failure = call.handle((response, thrown) -> thrown).join();
    assertThat(failure).isInstanceOf(HttpException.class);
    return ((HttpException) failure).kind();
  }

  private static String expand(String text) {
    return text.replaceFirst("^OK ?", "HTTP/1.1 200 OK~")
        .replace("CHUNKED ", "CHUNKED")
        .replace("CHUNKED", "transfer-encoding: chunked~~")
        .replace("~", "\r\n");
  }

  private static RawServer endlessServer(String start, String unit) {
    byte[] part = unit.repeat(PART_BYTES / unit.length()).getBytes(StandardCharsets.UTF_8);
    return new RawServer(
        socket -> {
          socket.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
          while (true) {
            socket.getOutputStream().write(part);
          }
        });
  }

  /** Guards against a response without end that is kept in memory until the call times out. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          HTTP/1.1 200                       | x                              | MALFORMED
          OK x-long:                         | x                              | MALFORMED
          OK                                 | x-name: value~                 | MALFORMED
          OK content-length: 1000000000000~~ | x                              | TOO_LARGE
          OK ~                               | x                              | TOO_LARGE
          OK CHUNKED                         | 8~01234567~                    | TOO_LARGE
          OK CHUNKED 8;name=                 | x                              | MALFORMED
          OK CHUNKED 0~                      | x-name: value~                 | MALFORMED
          HTTP/1.1 103 Early Hints~~         | HTTP/1.1 103 Early Hints~~     | TOO_LARGE
          OK x-id: 2~content-length: 100000000~~ | x                          | TOO_LARGE
          OK x-id: 2~CHUNKED                 | 1~x~                           | TOO_LARGE
          OK x-id: 2~content-length: 0~~     | OK x-id: 2~content-length: 0~~ | TOO_LARGE
          """)
  void endlessResponseFailsTheCall(String start, String unit, HttpException.Kind kind) {
    try (RawServer server = endlessServer(expand(start), expand(unit))) {
      assertThat(failureKind(call(server, MAX_RESPONSE_BYTES, true))).isEqualTo(kind);
      assertThat(budget.reservedBytes()).isZero();
      assertThat(strayResponses).hasValueLessThan(100);
    }
  }

  /** Guards against several responses without end that together fill the memory. */
  @Test
  void endlessResponsesAreLimitedTogether() {
    String head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
    List<CompletableFuture<HttpResponse>> calls = new ArrayList<>();
    try (RawServer endless = endlessServer(head, chunk);
        RawServer sound =
            new RawServer(
                socket ->
                    socket
                        .getOutputStream()
                        .write((head + chunk + "0\r\n\r\n").getBytes(StandardCharsets.UTF_8)))) {
      for (int i = 0; i < 20; i++) {
        calls.add(call(endless, Integer.MAX_VALUE, false));
      }
      for (int i = 0; i < 20; i++) {
        assertThat(call(sound, MAX_RESPONSE_BYTES, false).join().body()).hasSize(0x1000);
      }
      assertThat(calls).allMatch(call -> failureKind(call) == HttpException.Kind.TOO_LARGE);
      assertThat(budget.reservedBytes()).isZero();
    }
  }

  private static RawServer brokenOffServer(String response, int length, boolean reset) {
    return new RawServer(
        socket -> {
          socket
              .getOutputStream()
              .write(response.substring(0, length).getBytes(StandardCharsets.UTF_8));
          if (reset) {
            socket.setSoLinger(true, 0);
          }
        });
  }

  /** Guards against a response that breaks off and counts as complete. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          content-length: 10~~0123456789 | false
          content-length: 10~~0123456789 | true
          CHUNKED a~0123456789~0~~       | false
          CHUNKED a~0123456789~0~~       | true
          ~                              | false
          ~                              | true
          """)
  void responseThatBreaksOffIsNeverComplete(String rest, boolean reset) {
    String response = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-other: value\r\n" + expand(rest);
    List<Integer> wrongLengths = new ArrayList<>();
    for (int length = 0; length < response.length(); length++) {
      try (RawServer server = brokenOffServer(response, length, reset)) {
        if (call(server, MAX_RESPONSE_BYTES, true).handle((ok, thrown) -> thrown).join() == null) {
          wrongLengths.add(length);
        }
      }
    }
    assertThat(wrongLengths).as("lengths at which the response was complete").isEmpty();
    try (RawServer server = brokenOffServer(response, response.length(), false)) {
      assertThat(call(server, MAX_RESPONSE_BYTES, true).join().status()).isEqualTo(200);
    }
  }
}
