package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Calls between two links over real sockets: guards against calls that wait for a response that can
 * never arrive, as when only one of the two connections between the nodes is open.
 */
class PeerCallsTest {
  private static final String API = "test";
  private static final int TIMEOUT_MS = 20_000;
  private static final HttpResponse RESPONSE = new HttpResponse(200, Map.of(), new byte[] {1});

  private final EventLoopGroup group = EventLoops.start("calls", 2);
  private final PeerLink first = link("a");
  private final PeerLink second = link("b");
  private final PeerCalls caller = new PeerCalls(first, group);
  private final PeerCalls callee = new PeerCalls(second, group);

  private PeerLink link(String nodeId) {
    return PeerLink.builder()
        .group(group)
        .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .identity(() -> new PeerIdentity(nodeId, "svea-a", "svealand", 1, "127.0.0.1:1"))
        .start();
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    EventLoops.stop(group);
  }

  private static void connect(PeerLink from, PeerLink to) {
    CompletableFuture<Void> connected = new CompletableFuture<>();
    from.onConnected(peer -> connected.complete(null));
    from.dial(to.address());
    connected.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
  }

  private void connectBothWays() {
    CompletableFuture<Void> accepted = new CompletableFuture<>();
    first.onInboundConnected(peer -> accepted.complete(null));
    connect(first, second);
    connect(second, first);
    accepted.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
  }

  private CompletableFuture<HttpResponse> forward() {
    CallMessage.Request call =
        new CallMessage.Request(0, API, "POST", "/bookings", new DefaultHttpHeaders(), new byte[0]);
    return caller.forward(
        "b", API, new ForwardedExchange(call, group.next(), response -> {}), TIMEOUT_MS);
  }

  @Test
  void callIsNotSentToANodeThatIsNotConnectedToThisOne() {
    callee.handle(API, exchange -> exchange.respond(RESPONSE));
    connect(first, second);

    CompletableFuture<HttpResponse> response = forward();

    assertThat(response).isCompletedExceptionally();
    assertThatThrownBy(response::join)
        .isInstanceOf(CompletionException.class)
        .cause()
        .isInstanceOfSatisfying(
            SycamoreException.class,
            error -> assertThat(error.outcome()).isEqualTo(ExecutionOutcome.NOT_RUN));
  }

  @Test
  void callFailsWhenTheConnectionForItsResponseCloses() {
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    callee.handle(API, exchange -> arrived.complete(null));
    connectBothWays();

    CompletableFuture<HttpResponse> response = forward();
    arrived.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    second.stopDialling(first.address());

    assertThatThrownBy(response.orTimeout(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS)::join)
        .isInstanceOf(CompletionException.class)
        .cause()
        .isInstanceOfSatisfying(
            SycamoreException.class,
            error -> assertThat(error.outcome()).isEqualTo(ExecutionOutcome.UNKNOWN));
  }

  @Test
  void responseArrivesOverTwoConnections() {
    callee.handle(API, exchange -> exchange.respond(RESPONSE));
    connectBothWays();

    assertThat(forward().orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join().status())
        .isEqualTo(200);
  }
}
