package org.sycamoretrack.daemon.client;

import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.transport.request.HttpCall;

/** Decorates an {@link EndpointClient} with metrics: counts calls and measures their duration. */
public final class MeteredEndpointClient implements EndpointClient {
  private final EndpointClient endpoints;
  private final StoreBackedNodeMetrics metrics;

  /**
   * Creates the decorator.
   *
   * @param endpoints sends the requests
   * @param metrics receives the measurements
   */
  public MeteredEndpointClient(EndpointClient endpoints, StoreBackedNodeMetrics metrics) {
    this.endpoints = endpoints;
    this.metrics = metrics;
  }

  @Override
  public HttpCall send(
      Endpoint endpoint, PlainRequest request, long remainingMs, AttemptResultListener listener) {
    long sentMs = MonotonicClock.nowMs();
    return endpoints.send(
        endpoint,
        request,
        remainingMs,
        result -> {
          metrics.onAttempt(outcome(result), MonotonicClock.nowMs() - sentMs);
          listener.onAttemptResult(result);
        });
  }

  private static String outcome(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Answered answered -> "answered";
      case AttemptResult.NotRun notRun -> "not_run";
      case AttemptResult.Lost lost -> "lost";
    };
  }

  @Override
  public HttpCall score(
      Endpoint endpoint,
      ScoreRequest request,
      RequestCustomer customer,
      long timeoutMs,
      ScoreListener listener) {
    long sentMs = MonotonicClock.nowMs();
    return endpoints.score(
        endpoint,
        request,
        customer,
        timeoutMs,
        (outcome, load) -> {
          metrics.onScoreCall(outcome(outcome), MonotonicClock.nowMs() - sentMs);
          listener.onOutcome(outcome, load);
        });
  }

  private static String outcome(ScoreOutcome outcome) {
    return switch (outcome) {
      case ScoreOutcome.Scored scored -> "scored";
      case ScoreOutcome.Failed failed -> "failed";
      case ScoreOutcome.NotRun notRun -> "not_run";
      case ScoreOutcome.Lost lost -> "lost";
    };
  }

  @Override
  public HttpCall runItem(
      Endpoint endpoint,
      String host,
      RequestCustomer customer,
      BatchItem item,
      int afterEvent,
      ItemListener listener) {
    long startedMs = MonotonicClock.nowMs();
    return endpoints.runItem(
        endpoint,
        host,
        customer,
        item,
        afterEvent,
        new ItemListener() {
          @Override
          public void onStart(int version, LoadReport load) {
            listener.onStart(version, load);
          }

          @Override
          public void onEvent(int number, String data, int version) {
            listener.onEvent(number, data, version);
          }

          @Override
          public void onEnd(RunEnd end, String reason) {
            metrics.onItemRun(end, MonotonicClock.nowMs() - startedMs);
            listener.onEnd(end, reason);
          }
        });
  }

  @Override
  public CompletionStage<LoadCommandResponse> sendLoadCommand(
      Endpoint endpoint, LoadCommand command) {
    return endpoints
        .sendLoadCommand(endpoint, command)
        .whenComplete(
            (response, failure) ->
                metrics.onLoadCommand(
                    failure == null ? response.name().toLowerCase(Locale.ROOT) : "unanswered"));
  }

  @Override
  public CompletionStage<WeightReport> weightReport(Endpoint endpoint) {
    return endpoints.weightReport(endpoint);
  }

  @Override
  public CompletionStage<Liveness> liveness(Endpoint endpoint) {
    return endpoints.liveness(endpoint);
  }
}
