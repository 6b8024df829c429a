package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponseListener;

/** Tests of {@link StreamedCompletion}, judged by what an HTTP client receives. */
class StreamedCompletionTest {
  private static final int TIMEOUT_MS = 5_000;

  private final EventLoopGroup group = EventLoops.start("test", 1);

  @AfterEach
  void stop() {
    EventLoops.stop(group);
  }

  /** Collects a response, complete or not. */
  private static final class ReceivedResponse implements HttpResponseListener {
    private final StringBuilder body = new StringBuilder();
    private final CompletableFuture<Boolean> complete = new CompletableFuture<>();
    private int status;

    @Override
    public void onHead(int status, HttpHeaders headers) {
      this.status = status;
    }

    @Override
    public void onBody(ByteBuf part) {
      body.append(part.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd() {
      complete.complete(true);
    }

    @Override
    public void onFailure(HttpException failure) {
      complete.complete(false);
    }
  }

  /**
   * Guards against an error in the middle of a stream, and against a stream that ends as if it were
   * complete: engines failed after the stream had begun. A stream that hasn't begun has room for an
   * ordinary error response.
   */
  @ParameterizedTest
  @CsvSource({"0, 502, true", "1, 200, false", "3, 200, false"})
  void failedStreamDoesNotLookComplete(int events, int status, boolean complete) {
    ReceivedResponse response =
        receive(
            completion -> {
              for (int i = 0; i < events; i++) {
                completion.onTokens("t" + i, 1, 7);
              }
              completion.onFailed(
                  GenerationFailure.notRun(ErrorCode.ENDPOINT_FAILED, "the text of an error"));
            });

    assertThat(response.complete.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join())
        .isEqualTo(complete);
    assertThat(response.status).isEqualTo(status);
    if (!complete) {
      assertThat(response.body).doesNotContain("error", "[DONE]");
      assertThat(response.body.toString().lines().filter(line -> line.startsWith("data: ")))
          .hasSize(events);
    }
  }

  private ReceivedResponse receive(Consumer<StreamedCompletion> generation) {
    CompletionCall call = new CompletionCall("r-1", false, "m", "p", 8, null, true);
    HttpServer server =
        HttpServer.builder()
            .group(group)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .handler(exchange -> generation.accept(new StreamedCompletion(call, exchange)))
            .start();
    ReceivedResponse response = new ReceivedResponse();
    HttpRequest request =
        HttpRequest.builder("GET", server.address(), "/").timeoutMs(TIMEOUT_MS).build();
    new HttpClient(group, TIMEOUT_MS).send(request, response);
    response.complete.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    server.close();
    return response;
  }
}
