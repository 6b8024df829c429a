package org.sycamoretrack.daemon.request;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Runs calls with an idempotency key on the node that owns the key.
 *
 * <p>Each call is claimed in the table service and run, and its outcome is recorded. Every granted
 * claim gets a recorded response, is released or is marked unsettled, even when the call fails
 * before it starts: a claim that never ends would delay the handover of its range and keep its key
 * claimed.
 *
 * <p>Thread-safe.
 */
final class KeyedCallRunner {
  private static final System.Logger LOG = System.getLogger(KeyedCallRunner.class.getName());

  private final ClaimService claims;

  KeyedCallRunner(ClaimService claims) {
    this.claims = claims;
  }

  /**
   * Claims a call and runs it, or returns the outcome of an earlier run.
   *
   * @param call the call
   * @return the response; fails with a {@link SycamoreException} that says whether the call ran
   */
  CompletableFuture<HttpResponse> run(KeyedCall call) {
    return claims
        .claim(call.key(), call.fingerprint())
        .thenCompose(decision -> onDecision(call, decision))
        .toCompletableFuture();
  }

  private CompletableFuture<HttpResponse> onDecision(KeyedCall call, ClaimDecision decision) {
    return switch (decision) {
      case ClaimDecision.Run run -> runClaimed(call);
      case ClaimDecision.Answered answered -> replay(answered.response());
      case ClaimDecision.Unsettled unsettled -> {
        LOG.log(
            System.Logger.Level.WARNING, LogEvent.of("claim-unsettled").with("key", call.key()));
        yield failed(
            ErrorCode.CLAIM_UNSETTLED,
            ExecutionOutcome.UNKNOWN,
            "the idempotency key was already claimed and the outcome of its call is not recorded");
      }
      case ClaimDecision.KeyReused reused ->
          failed(
              ErrorCode.KEY_REUSED,
              ExecutionOutcome.NOT_RUN,
              "the idempotency key was already used for a different call");
      case ClaimDecision.Refused refused ->
          failed(
              refused.code(),
              ExecutionOutcome.NOT_RUN,
              "the idempotency key of the call could not be claimed");
    };
  }

  private static CompletableFuture<HttpResponse> failed(
      ErrorCode code, ExecutionOutcome outcome, String message) {
    return CompletableFuture.failedFuture(new SycamoreException(code, outcome, message));
  }

  private static CompletableFuture<HttpResponse> replay(RecordedResponse response) {
    if (!response.isBodyKept()) {
      return failed(
          ErrorCode.CLAIM_UNSETTLED,
          ExecutionOutcome.RAN,
          "the call ran, but its response was too long to be recorded");
    }
    return CompletableFuture.completedFuture(
        new HttpResponse(response.status(), response.headers(), response.body()));
  }

  private CompletableFuture<HttpResponse> runClaimed(KeyedCall call) {
    return start(call)
        .whenComplete(
            (response, failure) -> {
              if (failure == null) {
                claims.recordResponse(call.key(), toRecordedResponse(response));
              } else if (ErrorResponses.toError(failure).outcome() == ExecutionOutcome.NOT_RUN) {
                claims.release(call.key());
              } else {
                LOG.log(
                    System.Logger.Level.WARNING,
                    LogEvent.of("call-outcome-unknown")
                        .with("key", call.key())
                        .with("reason", ErrorResponses.toError(failure).getMessage()));
                claims.markUnsettled(call.key());
              }
            });
  }

  private static CompletableFuture<HttpResponse> start(KeyedCall call) {
    try {
      return call.run().get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static RecordedResponse toRecordedResponse(HttpResponse response) {
    Map<String, String> recordedHeaders =
        response.headers().entrySet().stream()
            .filter(header -> header.getKey().startsWith("content-type"))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    return RecordedResponse.of(response.status(), recordedHeaders, response.body());
  }
}
