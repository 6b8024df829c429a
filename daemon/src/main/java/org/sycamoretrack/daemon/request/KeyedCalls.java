package org.sycamoretrack.daemon.request;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.RecordedAnswer;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/**
 * Runs calls with an idempotency key at most once.
 *
 * <p>A call goes to the node that owns its key, which claims the key in the table service before it
 * runs the call. When that node can't be reached, or says that it does not own the key, the call is
 * forwarded again, to whoever is the owner then, for at most {@value #PATIENCE_MS} ms. This is safe
 * whatever became of the first try: a claim that was made is found by the next owner.
 *
 * <p>Thread-safe.
 */
final class KeyedCalls {
  private static final System.Logger LOG = System.getLogger(KeyedCalls.class.getName());

  /** The name of this interface on the peer link. */
  static final String PEER_API = "keyed";

  private static final int PATIENCE_MS = 10_000;
  private static final int RETRY_MS = 200;
  private static final int ANSWER_TIMEOUT_MS = 120_000;
  private static final int MAX_KEY_CHARS = 256;

  private final String nodeId;
  private final ClaimService claims;
  private final PeerCalls peers;
  private final Function<HttpExchange, KeyedOperation> resolver;

  /**
   * Creates the keyed calls and offers them to other nodes.
   *
   * @param nodeId this node
   * @param claims the claims
   * @param peers forwards calls to other nodes
   * @param resolver reads what a call asks for
   */
  KeyedCalls(
      String nodeId,
      ClaimService claims,
      PeerCalls peers,
      Function<HttpExchange, KeyedOperation> resolver) {
    this.nodeId = nodeId;
    this.claims = claims;
    this.peers = peers;
    this.resolver = resolver;
    peers.handle(PEER_API, this::handleForwarded);
  }

  /** Returns the key of a call, null when it has none. */
  static String keyOf(HttpExchange exchange) {
    String key = exchange.headers().get("idempotency-key");
    if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
      throw JsonFields.invalid("idempotency-key must have 1 to " + MAX_KEY_CHARS + " characters");
    }
    return key;
  }

  /**
   * Runs a call, or finds out how it ended before.
   *
   * @param exchange the call; it is not answered here
   * @return the answer, errors included; never fails
   */
  CompletableFuture<HttpAnswer> run(HttpExchange exchange) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    KeyedOperation operation = resolver.apply(exchange);
    tryOwner(exchange, operation, System.nanoTime(), result);
    return result;
  }

  private void tryOwner(
      HttpExchange exchange,
      KeyedOperation operation,
      long startNanos,
      CompletableFuture<HttpAnswer> result) {
    String owner = claims.ownerOf(operation.key()).orElse(nodeId);
    CompletableFuture<HttpAnswer> answer =
        owner.equals(nodeId)
            ? runHere(operation)
            : peers.forward(owner, PEER_API, exchange, ANSWER_TIMEOUT_MS);
    answer.whenComplete(
        (done, failure) -> {
          if (failure == null && !isMisdirected(done)) {
            result.complete(done);
            return;
          }
          HttpAnswer error =
              failure == null ? done : ErrorAnswers.answer(ErrorAnswers.toError(failure));
          boolean mayRetry = failure == null || isUnavailable(failure);
          if (!mayRetry || elapsedMs(startNanos) >= PATIENCE_MS) {
            result.complete(error);
          } else {
            exchange
                .eventLoop()
                .schedule(
                    () -> tryOwner(exchange, operation, startNanos, result),
                    RETRY_MS,
                    TimeUnit.MILLISECONDS);
          }
        });
  }

  private static boolean isUnavailable(Throwable failure) {
    ErrorCode code = ErrorAnswers.toError(failure).code();
    return code == ErrorCode.PEER_UNAVAILABLE || code == ErrorCode.LEASE_LOST;
  }

  private static boolean isMisdirected(HttpAnswer answer) {
    if (answer.status() != ErrorCode.LEASE_LOST.httpStatus()) {
      return false;
    }
    try {
      String code = answer.json().path("error").path("code").asText();
      return code.equals(ErrorCode.LEASE_LOST.wireName());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static long elapsedMs(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void handleForwarded(HttpExchange exchange) {
    runHere(resolver.apply(exchange))
        .whenComplete(
            (answer, failure) ->
                exchange.respond(
                    failure == null ? answer : ErrorAnswers.answer(ErrorAnswers.toError(failure))));
  }

  private CompletableFuture<HttpAnswer> runHere(KeyedOperation operation) {
    return claims
        .claim(operation.key(), operation.fingerprint())
        .thenCompose(decision -> onDecision(operation, decision))
        .toCompletableFuture();
  }

  private CompletableFuture<HttpAnswer> onDecision(
      KeyedOperation operation, ClaimDecision decision) {
    return switch (decision) {
      case ClaimDecision.Run run -> runClaimed(operation);
      case ClaimDecision.Answered answered -> repeat(answered.answer());
      case ClaimDecision.Unsettled unsettled -> {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("claim-unsettled").with("key", operation.key()));
        yield failed(
            ErrorCode.CLAIM_UNSETTLED,
            Outcome.UNKNOWN,
            "the call was claimed before and its outcome is not recorded");
      }
      case ClaimDecision.KeyReused reused ->
          failed(ErrorCode.KEY_REUSED, Outcome.NOT_RUN, "the key was used before for another call");
      case ClaimDecision.Refused refused ->
          failed(refused.code(), Outcome.NOT_RUN, "the call could not be claimed");
    };
  }

  private static CompletableFuture<HttpAnswer> failed(
      ErrorCode code, Outcome outcome, String message) {
    return CompletableFuture.failedFuture(new SycamoreException(code, outcome, message));
  }

  private static CompletableFuture<HttpAnswer> repeat(RecordedAnswer answer) {
    if (!answer.isBodyKept()) {
      return failed(
          ErrorCode.CLAIM_UNSETTLED, Outcome.RAN, "the call ran; its answer was too long to keep");
    }
    return CompletableFuture.completedFuture(
        new HttpAnswer(answer.status(), answer.headers(), answer.body()));
  }

  private CompletableFuture<HttpAnswer> runClaimed(KeyedOperation operation) {
    return operation
        .run()
        .get()
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                claims.settle(operation.key(), record(answer));
              } else if (ErrorAnswers.toError(failure).outcome() == Outcome.NOT_RUN) {
                claims.release(operation.key());
              } else {
                LOG.log(
                    System.Logger.Level.WARNING,
                    LogEvent.of("call-outcome-unknown")
                        .with("key", operation.key())
                        .with("reason", ErrorAnswers.toError(failure).getMessage()));
                claims.leaveUnsettled(operation.key());
              }
            });
  }

  private static RecordedAnswer record(HttpAnswer answer) {
    Map<String, String> kept =
        answer.headers().entrySet().stream()
            .filter(header -> header.getKey().startsWith("content-type"))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    return RecordedAnswer.of(answer.status(), kept, answer.body());
  }
}
