package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Scores samples through calls to a plain service. Thread-safe. */
final class HttpScorer implements Scorer {
  private static final int OK = 200;

  private final ServiceCaller caller;
  private final Supplier<Configuration> configuration;

  HttpScorer(ServiceCaller caller, Supplier<Configuration> configuration) {
    this.caller = caller;
    this.configuration = configuration;
  }

  @Override
  public CompletionStage<ScoreOutcome> score(
      String service, StepSpec spec, Sample sample, long timeoutMs) {
    ResourceSpec.ServiceSpec serviceSpec = configuration.get().services().get(service);
    if (serviceSpec == null) {
      return CompletableFuture.completedFuture(new ScoreOutcome.NotRun("no service " + service));
    }
    ObjectNode body =
        Json.object()
            .put("track", spec.id().track())
            .put("step", spec.id().step())
            .put("slot", sample.slot())
            .put("prompt", spec.promptOf(sample.slot()))
            .put("text", sample.text());
    ServiceCall call =
        new ServiceCall(
            spec.id().key() + '/' + sample.slot() + "/score",
            serviceSpec.pool(),
            "POST",
            serviceSpec.path(),
            Map.of("content-type", "application/json"),
            Json.toBytes(body),
            true,
            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    return caller.call(call).handle(HttpScorer::toOutcome);
  }

  private static ScoreOutcome toOutcome(HttpResponse response, Throwable failure) {
    if (failure != null) {
      String reason = String.valueOf(Failures.unwrap(failure).getMessage());
      return Failures.outcome(failure) == ExecutionOutcome.NOT_RUN
          ? new ScoreOutcome.NotRun(reason)
          : new ScoreOutcome.Lost(reason);
    }
    int status = response.status();
    return status == OK
        ? toScore(response)
        : ScoreOutcome.ofErrorStatus(status, "the scorer responded with HTTP status " + status);
  }

  private static ScoreOutcome toScore(HttpResponse response) {
    try {
      JsonNode score = response.json().path("score");
      return score.isNumber()
          ? new ScoreOutcome.Scored(score.asText())
          : new ScoreOutcome.Lost("the scorer's response has no numeric field score");
    } catch (IllegalArgumentException e) {
      return new ScoreOutcome.Lost("the scorer's response is not JSON: " + e.getMessage());
    }
  }
}
