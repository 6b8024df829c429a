package org.sycamoretrack.daemon.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.request.HttpHandler;

/** A platform stand-in, an HTTP client for it, and helpers that wait for stages. */
final class PlatformFixture implements AutoCloseable {
  static final int TIMEOUT_MS = 400;
  private static final int DELAY_MS = 900;
  private static final int OVERSIZED_BYTES = 17 << 20;
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  final EventLoopGroup group = EventLoops.start("contract", 2);
  final HttpClient client = new HttpClient(group, 1_000);
  final PlatformStandin platform = PlatformStandin.builder().start();

  /** Starts a server with the given handler, for responses that the stand-in does not produce. */
  HttpServer serve(HttpHandler handler) {
    return HttpServer.builder().group(group).address(ANY_PORT).handler(handler).start();
  }

  /** Returns a fault of one request, with a delay longer than the client's timeout. */
  static Fault singleFault(FaultKind kind, String path) {
    return Fault.builder(kind)
        .path(path)
        .times(1)
        .delayMs(DELAY_MS)
        .sizeBytes(OVERSIZED_BYTES)
        .build();
  }

  static <T> T get(CompletionStage<T> stage) {
    try {
      return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (InterruptedException | TimeoutException | ExecutionException e) {
      throw new AssertionError("the stage failed", e);
    }
  }

  static SycamoreException failure(CompletionStage<?> stage) {
    Throwable failure =
        get(stage.handle((value, thrown) -> thrown == null ? new AssertionError(value) : thrown));
    assertThat(Failures.unwrap(failure)).isInstanceOf(SycamoreException.class);
    return (SycamoreException) Failures.unwrap(failure);
  }

  @Override
  public void close() {
    platform.close();
    EventLoops.stop(group);
  }
}
