package org.sycamoretrack.daemon.client;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.connection.ZoneOverflow;
import org.sycamoretrack.core.connection.ZoneWork;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchItem;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * Decorates an {@link EndpointClient} with the measurements of traffic between availability zones:
 * reports to a {@link ZoneOverflow} how long work takes and who refuses it, and counts the bytes of
 * paths, headers, bodies and events that are exchanged with endpoints of other zones. Bytes of
 * commands to load weights and of liveness checks are not counted. Confined to one event loop.
 */
public final class ZoneMeteredEndpointClient implements EndpointClient {
  private final EndpointClient endpoints;
  private final ZoneOverflow overflow;
  private final StoreBackedNodeMetrics metrics;

  /**
   * Creates the decorator.
   *
   * @param endpoints sends the requests
   * @param overflow receives times and refusals
   * @param metrics counts the bytes
   */
  public ZoneMeteredEndpointClient(
      EndpointClient endpoints, ZoneOverflow overflow, StoreBackedNodeMetrics metrics) {
    this.endpoints = endpoints;
    this.overflow = overflow;
    this.metrics = metrics;
  }

  private void countBytes(Endpoint endpoint, String direction, long bytes) {
    if (!endpoint.zone().equals(overflow.zone())) {
      metrics.onZoneBytes(direction, bytes);
    }
  }

  private static long size(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static long size(Map<String, String> headers) {
    return headers.entrySet().stream()
        .mapToLong(header -> header.getKey().length() + header.getValue().length())
        .sum();
  }

  @Override
  public HttpCall send(
      Endpoint endpoint, PlainRequest request, long remainingMs, AttemptResultListener listener) {
    long sentMs = MonotonicClock.nowMs();
    double queueFactor = overflow.queueFactor(endpoint, sentMs);
    countBytes(
        endpoint, "sent", size(request.target()) + size(request.headers()) + request.body().length);
    return endpoints.send(
        endpoint,
        request,
        remainingMs,
        result -> {
          long nowMs = MonotonicClock.nowMs();
          switch (result) {
            case AttemptResult.Answered answered -> {
              overflow.onCompleted(
                  endpoint.service(), endpoint, (double) (nowMs - sentMs), queueFactor, nowMs);
              countBytes(
                  endpoint,
                  "received",
                  size(answered.response().headers()) + answered.response().body().length);
            }
            case AttemptResult.NotRun notRun -> overflow.onRefused(endpoint, nowMs);
            case AttemptResult.Lost lost -> {
              // The endpoint is paused, which the decision sees.
            }
          }
          listener.onAttemptResult(result);
        });
  }

  @Override
  public HttpCall score(
      Endpoint endpoint,
      ScoreRequest request,
      RequestCustomer customer,
      long timeoutMs,
      ScoreListener listener) {
    countBytes(endpoint, "sent", size(request.path()) + request.body().length);
    return endpoints.score(endpoint, request, customer, timeoutMs, listener);
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
    countBytes(endpoint, "sent", size(item.path()) + size(item.headers()) + item.body().length);
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
            countBytes(endpoint, "received", size(data));
            listener.onEvent(number, data, version);
          }

          @Override
          public void onEnd(RunEnd end, String reason) {
            long nowMs = MonotonicClock.nowMs();
            if (end == RunEnd.COMPLETE) {
              String pool = ZoneWork.itemPool(endpoint.service(), item.model());
              overflow.onCompleted(pool, endpoint, (double) (nowMs - startedMs), 1, nowMs);
            } else if (end == RunEnd.NOT_RUN) {
              overflow.onRefused(endpoint, nowMs);
            }
            listener.onEnd(end, reason);
          }
        });
  }

  @Override
  public CompletionStage<LoadCommandResponse> sendLoadCommand(
      Endpoint endpoint, LoadCommand command) {
    return endpoints.sendLoadCommand(endpoint, command);
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
