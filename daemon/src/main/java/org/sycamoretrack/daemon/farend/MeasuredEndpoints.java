package org.sycamoretrack.daemon.farend;

import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.process.RolloutMetrics;
import org.sycamoretrack.transport.request.HttpCall;

/** Decorates an {@link EndpointClient} with metrics: counts calls and measures their duration. */
public final class MeasuredEndpoints implements EndpointClient {
  private final EndpointClient endpoints;
  private final RolloutMetrics metrics;

  /**
   * Creates the decorator.
   *
   * @param endpoints sends the requests
   * @param metrics receives the measurements
   */
  public MeasuredEndpoints(EndpointClient endpoints, RolloutMetrics metrics) {
    this.endpoints = endpoints;
    this.metrics = metrics;
  }

  @Override
  public HttpCall send(
      Endpoint endpoint, PlainRequest request, long remainingMs, AttemptListener listener) {
    long sentMs = MonotonicClock.nowMs();
    return endpoints.send(
        endpoint,
        request,
        remainingMs,
        attempt -> {
          metrics.onAttempt(outcome(attempt), MonotonicClock.nowMs() - sentMs);
          listener.onAttempt(attempt);
        });
  }

  private static String outcome(Attempt attempt) {
    return switch (attempt) {
      case Attempt.Answered answered -> "answered";
      case Attempt.NotRun notRun -> "not_run";
      case Attempt.Lost lost -> "lost";
    };
  }

  @Override
  public HttpCall run(
      Endpoint endpoint, String host, BatchItem item, int afterEvent, ItemListener listener) {
    long startedMs = MonotonicClock.nowMs();
    return endpoints.run(
        endpoint,
        host,
        item,
        afterEvent,
        new ItemListener() {
          @Override
          public void onStart(int version, Load load) {
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
  public CompletionStage<OrderAnswer> order(Endpoint endpoint, LoadOrder order) {
    return endpoints
        .order(endpoint, order)
        .whenComplete(
            (response, failure) ->
                metrics.onOrder(
                    failure == null ? response.name().toLowerCase(Locale.ROOT) : "unanswered"));
  }

  @Override
  public CompletionStage<WeightReport> report(Endpoint endpoint) {
    return endpoints.report(endpoint);
  }
}
