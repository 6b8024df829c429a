package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Forwards calls to other nodes over the peer link. Only complete responses are supported, no
 * streams.
 *
 * <p>The handler on the other node gets an {@link HttpExchange} as if the caller had called that
 * node directly. A call without a response fails with {@link ErrorCode#PEER_UNAVAILABLE}, with the
 * outcome {@link ExecutionOutcome#NOT_RUN} if it was never sent and {@link
 * ExecutionOutcome#UNKNOWN} otherwise. A call is sent only if the other node is connected to this
 * one too, since the response arrives on that connection; a response that can't be sent closes the
 * connection of the call.
 *
 * <p>Thread-safe.
 */
public final class PeerCalls {
  private final PeerLink link;
  private final EventLoopGroup loops;
  private final Map<String, HttpHandler> handlers = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();
  private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();
  private final Map<String, Map<Long, ForwardedExchange>> received = new ConcurrentHashMap<>();

  /**
   * Creates the sender and the receiver side and registers their message handlers.
   *
   * @param link the peer link
   * @param loops the event loops for timers and received calls
   */
  public PeerCalls(PeerLink link, EventLoopGroup loops) {
    this.link = link;
    this.loops = loops;
    link.onMessage(CallMessage.Request.TYPE, CallMessage.Request::read, this::onRequest);
    link.onMessage(CallMessage.Response.TYPE, CallMessage.Response::read, this::onResponse);
    link.onMessage(CallMessage.Cancel.TYPE, CallMessage.Cancel::read, this::onCancel);
    link.onDisconnected(this::onDisconnected);
  }

  /** A call that waits for its response. */
  private record PendingCall(String nodeId, CompletableFuture<HttpResponse> response) {}

  /**
   * Sets the handler of the calls to an API that other nodes forward to this one.
   *
   * @param api the name of the API
   * @param handler the handler; it must not stream its responses
   */
  public void handle(String api, HttpHandler handler) {
    handlers.put(api, handler);
  }

  /**
   * Forwards a call.
   *
   * @param nodeId the id of the node to forward to
   * @param api the name of the API
   * @param exchange the call; this method does not respond to it
   * @param timeoutMs the maximum time to wait for the response, in milliseconds
   * @return the response; cancelling the future cancels the call
   */
  public CompletableFuture<HttpResponse> forward(
      String nodeId, String api, HttpExchange exchange, int timeoutMs) {
    long id = nextId.incrementAndGet();
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    pending.put(id, new PendingCall(nodeId, response));
    response.whenComplete((done, failure) -> onDone(nodeId, id, failure));
    if (!link.isConnectedBothWays(nodeId)
        || !link.send(nodeId, CallMessage.Request.of(id, api, exchange))) {
      response.completeExceptionally(unavailable(nodeId, ExecutionOutcome.NOT_RUN));
    } else {
      loops
          .next()
          .schedule(
              () -> response.completeExceptionally(unavailable(nodeId, ExecutionOutcome.UNKNOWN)),
              timeoutMs,
              TimeUnit.MILLISECONDS);
    }
    return response;
  }

  private void onDone(String nodeId, long id, Throwable failure) {
    if (pending.remove(id) != null && failure != null) {
      link.send(nodeId, new CallMessage.Cancel(id));
    }
  }

  private static SycamoreException unavailable(String nodeId, ExecutionOutcome outcome) {
    return new SycamoreException(
        ErrorCode.PEER_UNAVAILABLE,
        outcome,
        "node " + nodeId + " did not receive the forwarded call or did not respond to it");
  }

  private void onResponse(String fromNodeId, CallMessage.Response message) {
    PendingCall call = pending.remove(message.id());
    if (call != null) {
      call.response().complete(message.response());
    }
  }

  private void onDisconnected(String nodeId) {
    pending.forEach(
        (id, call) -> {
          if (call.nodeId().equals(nodeId)) {
            call.response().completeExceptionally(unavailable(nodeId, ExecutionOutcome.UNKNOWN));
          }
        });
    Map<Long, ForwardedExchange> orphans = received.remove(nodeId);
    if (orphans != null) {
      orphans.values().forEach(ForwardedExchange::abandon);
    }
  }

  private void onRequest(String fromNodeId, CallMessage.Request message) {
    Map<Long, ForwardedExchange> callsOfNode =
        received.computeIfAbsent(fromNodeId, unused -> new ConcurrentHashMap<>());
    ForwardedExchange exchange =
        new ForwardedExchange(
            message,
            loops.next(),
            response -> {
              callsOfNode.remove(message.id());
              link.sendOrDisconnect(fromNodeId, new CallMessage.Response(message.id(), response));
            });
    callsOfNode.put(message.id(), exchange);
    HttpHandler handler = handlers.get(message.api());
    if (handler == null) {
      SycamoreException error =
          new SycamoreException(
              ErrorCode.NOT_FOUND,
              ExecutionOutcome.NOT_RUN,
              "unknown API on the peer link: " + message.api());
      exchange.respond(ErrorResponses.response(error));
      return;
    }
    exchange.eventLoop().execute(() -> Router.handleSafely(handler, exchange));
  }

  private void onCancel(String fromNodeId, CallMessage.Cancel message) {
    ForwardedExchange exchange = received.getOrDefault(fromNodeId, Map.of()).remove(message.id());
    if (exchange != null) {
      exchange.abandon();
    }
  }
}
