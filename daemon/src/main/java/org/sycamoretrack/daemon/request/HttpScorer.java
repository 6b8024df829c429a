package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpResponse;

/** Scores samples through calls to a plain service. Thread-safe. */
final class HttpScorer implements Scorer {
  private static final int TIMEOUT_MS = 30_000;

  private final ServiceCaller caller;
  private final Supplier<Configuration> configuration;

  HttpScorer(ServiceCaller caller, Supplier<Configuration> configuration) {
    this.caller = caller;
    this.configuration = configuration;
  }

  @Override
  public CompletionStage<Double> score(String service, StepSpec spec, Sample sample) {
    ResourceSpec.ServiceSpec serviceSpec = configuration.get().services().get(service);
    if (serviceSpec == null) {
      return CompletableFuture.failedFuture(
          new SycamoreException(
              ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "no service " + service));
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
            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS));
    return caller.call(call).thenApply(HttpScorer::parse);
  }

  private static Double parse(HttpResponse response) {
    if (response.status() != 200) {
      throw new SycamoreException(
          ErrorCode.ENDPOINT_FAILED,
          ExecutionOutcome.RAN,
          "the scorer responded with HTTP status " + response.status());
    }
    JsonNode score = response.json().path("score");
    if (!score.isNumber()) {
      throw new SycamoreException(
          ErrorCode.ENDPOINT_FAILED,
          ExecutionOutcome.RAN,
          "the scorer's response has no numeric field score");
    }
    return score.doubleValue();
  }
}
