package org.sycamoretrack.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Routes calls with an idempotency key to the node that owns the key, where they run at most once.
 *
 * <p>The owner claims and runs the call, see {@link KeyedCallRunner}. When the owner can't be
 * reached, or responds that it does not own the key, the call is sent again to the current owner,
 * for at most {@value #RETRY_TIMEOUT_MS} ms. This is safe whatever the outcome of the first
 * attempt: if it made a claim, the next owner finds it.
 *
 * <p>Thread-safe.
 */
final class KeyedCallRouter {
  /** The name of this API on the peer link. */
  static final String PEER_API = "keyed";

  private static final int RETRY_TIMEOUT_MS = 10_000;
  private static final int RETRY_DELAY_MS = 200;
  private static final int RESPONSE_TIMEOUT_MS = 120_000;
  private static final int MAX_KEY_CHARS = 256;

  private final String nodeId;
  private final ClaimService claims;
  private final KeyedCallRunner runner;
  private final PeerCalls peers;
  private final Function<HttpExchange, KeyedCall> resolver;

  /**
   * Creates a router and registers the handler for calls that other nodes forward.
   *
   * @param nodeId this node
   * @param claims the claims
   * @param peers forwards calls to other nodes
   * @param resolver parses a call into the keyed call to run
   */
  KeyedCallRouter(
      String nodeId,
      ClaimService claims,
      PeerCalls peers,
      Function<HttpExchange, KeyedCall> resolver) {
    this.nodeId = nodeId;
    this.claims = claims;
    this.runner = new KeyedCallRunner(claims);
    this.peers = peers;
    this.resolver = resolver;
    peers.handle(PEER_API, this::handleForwarded);
  }

  /** Returns the idempotency key of a call, or null when it has none. */
  static String keyOf(HttpExchange exchange) {
    String key = exchange.headers().get("idempotency-key");
    if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
      throw RequestBodyFields.invalid(
          "idempotency-key must have 1 to " + MAX_KEY_CHARS + " characters");
    }
    return key;
  }

  /**
   * Runs a call, or returns the outcome of an earlier run.
   *
   * @param exchange the call; this method does not respond to it
   * @return the response, which may be an error response; never fails
   */
  CompletableFuture<HttpResponse> run(HttpExchange exchange) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    KeyedCall keyedCall = resolver.apply(exchange);
    callOwner(exchange, keyedCall, System.nanoTime(), result);
    return result;
  }

  private void callOwner(
      HttpExchange exchange,
      KeyedCall keyedCall,
      long startNanos,
      CompletableFuture<HttpResponse> result) {
    String owner = claims.ownerOf(keyedCall.key()).orElse(nodeId);
    CompletableFuture<HttpResponse> pending =
        owner.equals(nodeId)
            ? runner.run(keyedCall)
            : peers.forward(owner, PEER_API, exchange, RESPONSE_TIMEOUT_MS);
    pending.whenComplete(
        (response, failure) -> {
          if (failure == null && !isMisdirected(response)) {
            result.complete(response);
            return;
          }
          HttpResponse error =
              failure == null ? response : ErrorResponses.response(ErrorResponses.toError(failure));
          boolean mayRetry = failure == null || isUnavailable(failure);
          if (!mayRetry || elapsedMs(startNanos) >= RETRY_TIMEOUT_MS) {
            result.complete(error);
          } else {
            exchange
                .eventLoop()
                .schedule(
                    () -> callOwner(exchange, keyedCall, startNanos, result),
                    RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
          }
        });
  }

  private static boolean isUnavailable(Throwable failure) {
    ErrorCode code = ErrorResponses.toError(failure).code();
    return code == ErrorCode.PEER_UNAVAILABLE || code == ErrorCode.LEASE_LOST;
  }

  private static boolean isMisdirected(HttpResponse response) {
    if (response.status() != ErrorCode.LEASE_LOST.httpStatus()) {
      return false;
    }
    try {
      String code = response.json().path("error").path("code").asText();
      return code.equals(ErrorCode.LEASE_LOST.wireName());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static long elapsedMs(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void handleForwarded(HttpExchange exchange) {
    runner
        .run(resolver.apply(exchange))
        .whenComplete(
            (response, failure) ->
                exchange.respond(
                    failure == null
                        ? response
                        : ErrorResponses.response(ErrorResponses.toError(failure))));
  }
}
