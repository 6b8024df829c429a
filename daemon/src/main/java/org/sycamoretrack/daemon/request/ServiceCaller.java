package org.sycamoretrack.daemon.request;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.connection.EndpointStats;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.connection.RequestTraits;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Backoff;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.request.RetryBudget;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Sends calls to the endpoints of plain services.
 *
 * <p>Endpoints are selected by the statistics that this node has collected. A call that is known
 * not to have run is retried on another endpoint. A call that may have run is retried only if it is
 * repeatable and the {@link RetryBudget} allows it. A call that may not be repeated is sent on a
 * new connection, since the endpoint might be closing a reused one, which would leave the outcome
 * unknown.
 *
 * <p>Thread-safe.
 */
final class ServiceCaller {
  private static final int MAX_ATTEMPTS = 6;
  private static final int BASE_BACKOFF_MS = 10;
  private static final int MAX_BACKOFF_MS = 500;
  private static final int ENDPOINT_CONCURRENCY_LIMIT = 256;

  private final String zone;
  private final HttpClient client;
  private final Supplier<RoutingTable> routes;
  private final RetryBudget budget = new RetryBudget();
  private final Map<String, EndpointStats> statsByEndpoint = new ConcurrentHashMap<>();

  ServiceCaller(String zone, HttpClient client, Supplier<RoutingTable> routes) {
    this.zone = zone;
    this.client = client;
    this.routes = routes;
  }

  /** Sends a call and returns the response of the endpoint, whatever its status. */
  CompletableFuture<HttpResponse> call(ServiceCall call) {
    synchronized (budget) {
      budget.onRequest();
    }
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    new RetryingCall(call, result).startNextAttempt();
    return result;
  }

  private EndpointStats stats(String endpoint) {
    return statsByEndpoint.computeIfAbsent(endpoint, unused -> new EndpointStats());
  }

  private Optional<EndpointRoute> choose(ServiceCall call, Set<String> excluded) {
    RoutingTable table = routes.get();
    long nowMs = MonotonicClock.nowMs();
    List<EndpointView> views =
        table.ofPool(call.pool()).stream().map(route -> view(route, nowMs)).toList();
    RequestTraits traits = new RequestTraits(RequestClass.INTERACTIVE, zone, 0, 0, 1, excluded);
    return new EndpointSelector(ThreadLocalRandom.current())
        .choose(views, traits, nowMs)
        .flatMap(table::ofName);
  }

  private EndpointView view(EndpointRoute route, long nowMs) {
    EndpointTarget target = route.target();
    EndpointStats stats = stats(target.name());
    synchronized (stats) {
      stats.update(nowMs, 0);
      return stats
          .view(target.name(), target.zone(), nowMs)
          .limit(ENDPOINT_CONCURRENCY_LIMIT)
          .inService(route.view().inService())
          .build();
    }
  }

  /** A call and its successive attempts. */
  private final class RetryingCall {
    private final ServiceCall call;
    private final CompletableFuture<HttpResponse> result;
    private final Set<String> excluded = new HashSet<>();
    private final Backoff backoff =
        new Backoff(BASE_BACKOFF_MS, MAX_BACKOFF_MS, ThreadLocalRandom.current());
    private int attempts;

    private RetryingCall(ServiceCall call, CompletableFuture<HttpResponse> result) {
      this.call = call;
      this.result = result;
    }

    private void startNextAttempt() {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - System.nanoTime());
      if (remainingMs <= 0) {
        fail(
            ErrorCode.DEADLINE_EXCEEDED,
            ExecutionOutcome.NOT_RUN,
            "the deadline of the call passed");
        return;
      }
      Optional<EndpointRoute> route = choose(call, excluded);
      if (route.isEmpty()) {
        excluded.clear();
        retryOrFail(
            ErrorCode.NO_ENDPOINT,
            ExecutionOutcome.NOT_RUN,
            "no endpoint is available in pool " + call.pool());
        return;
      }
      send(route.get().target(), Math.clamp(remainingMs, 1, Integer.MAX_VALUE));
    }

    private void send(EndpointTarget target, int timeoutMs) {
      attempts++;
      HttpRequest.Builder request =
          HttpRequest.builder(call.method(), target.address(), call.target())
              .body(call.body())
              .timeoutMs(timeoutMs);
      call.headers().forEach(request::header);
      request.header("x-request-id", call.id()).header("x-attempt", Integer.toString(attempts));
      if (!call.repeatable()) {
        request.freshConnection();
      }
      EndpointStats stats = stats(target.name());
      long startMs = MonotonicClock.nowMs();
      synchronized (stats) {
        stats.onStart(startMs);
      }
      client
          .call(request.build())
          .whenComplete((response, failure) -> onDone(target, startMs, response, failure));
    }

    private void onDone(
        EndpointTarget target, long startMs, HttpResponse response, Throwable failure) {
      long nowMs = MonotonicClock.nowMs();
      EndpointStats stats = stats(target.name());
      synchronized (stats) {
        if (failure == null) {
          double elapsedMs = nowMs - startMs;
          stats.onFirstToken(nowMs, elapsedMs);
          stats.onTokens(nowMs, elapsedMs, 1);
          stats.onSuccess();
        } else {
          stats.onFailure(nowMs);
        }
      }
      if (failure != null) {
        excluded.add(target.name());
        onFailed(target, failure);
      } else if (isRefusedAsNotRun(response)) {
        excluded.add(target.name());
        retryOrFail(
            ErrorCode.OVERLOADED, ExecutionOutcome.NOT_RUN, target.name() + " refused the call");
      } else {
        result.complete(response);
      }
    }

    private void onFailed(EndpointTarget target, Throwable failure) {
      boolean maybeSent = !(failure instanceof HttpException http) || http.maybeSent();
      String message = "endpoint " + target.name() + ": " + failure.getMessage();
      if (!maybeSent) {
        retryOrFail(ErrorCode.ENDPOINT_FAILED, ExecutionOutcome.NOT_RUN, message);
      } else if (call.repeatable()) {
        retryOrFail(ErrorCode.ENDPOINT_FAILED, ExecutionOutcome.UNKNOWN, message);
      } else {
        fail(ErrorCode.ENDPOINT_FAILED, ExecutionOutcome.UNKNOWN, message);
      }
    }

    private void retryOrFail(ErrorCode code, ExecutionOutcome outcome, String message) {
      boolean allowed = outcome == ExecutionOutcome.NOT_RUN || tryRetry();
      if (attempts + 1 > MAX_ATTEMPTS || !allowed) {
        fail(code, outcome, message);
        return;
      }
      if (code == ErrorCode.NO_ENDPOINT) {
        attempts++;
      }
      CompletableFuture.delayedExecutor(
              backoff.delayMs(Math.max(1, attempts)), TimeUnit.MILLISECONDS)
          .execute(this::startNextAttempt);
    }

    private boolean tryRetry() {
      synchronized (budget) {
        return budget.tryRetry();
      }
    }

    private void fail(ErrorCode code, ExecutionOutcome outcome, String message) {
      result.completeExceptionally(new SycamoreException(code, outcome, message));
    }
  }

  /** Returns whether a response says that the endpoint refused the call and didn't run it. */
  private static boolean isRefusedAsNotRun(HttpResponse response) {
    if (response.status() != 503 && response.status() != 429) {
      return false;
    }
    try {
      String outcome = Json.parse(response.body()).path("error").path("outcome").asText();
      return outcome.equals(ExecutionOutcome.NOT_RUN.wireName());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }
}
