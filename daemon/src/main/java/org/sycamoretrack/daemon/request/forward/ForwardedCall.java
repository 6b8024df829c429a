package org.sycamoretrack.daemon.request.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.usage.RequestUsage;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.core.version.routing.RouteKind;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.EndpointClient.AttemptResult;
import org.sycamoretrack.daemon.client.EndpointClient.PlainRequest;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * A plain request and its attempts on endpoints.
 *
 * <p>A request that may run more than once is sent to a second endpoint if the first one fails or
 * hasn't responded after {@value #HEDGE_DELAY_MS} ms. The first complete response is used and the
 * other run is cancelled. A request that may run only once is sent to another endpoint only after
 * the previous one has confirmed that it didn't and won't run it. Such a refusal doesn't count as
 * an attempt. Each endpoint is tried at most once. A request that is quarantined for the crashes of
 * {@link EndpointCrashes} is not sent at all. During a planned stop, no attempt begins that can't
 * be expected to end in time.
 *
 * <p>Confined to the traffic loop.
 */
public final class ForwardedCall {
  /** Three times the usual duration of a lookup; beyond it, the endpoint has probably stalled. */
  private static final long HEDGE_DELAY_MS = 90;

  /** The typical time until a fully occupied endpoint frees a slot. */
  private static final long RETRY_AFTER_MS = 100;

  private static final long REFUSED_PAUSE_MS = 60;
  private static final int SERVER_ERROR = 500;
  private static final System.Logger LOG = System.getLogger(ForwardedCall.class.getName());

  private final Forwarder forwarder;
  private final Route route;
  private final PlainRequest request;
  private final Consumer<ForwardOutcome> onOutcome;
  private final long startedMs = MonotonicClock.nowMs();
  private final long limitMs;
  private long deadlineMs;
  private final String service;
  private final String fingerprint;
  private final RequestUsage usage;
  private final Set<String> tried = new HashSet<>();
  private final Map<String, Endpoint> inFlight = new HashMap<>();
  private final Map<String, HttpCall> running = new HashMap<>();
  private int attempts;
  private boolean maybeRan;
  private AttemptResult.Answered failedResponse;
  private String lastReason = "no endpoint is in service";
  private boolean ended;

  ForwardedCall(
      Forwarder forwarder,
      Route route,
      PlainRequest request,
      long timeoutMs,
      Consumer<ForwardOutcome> onOutcome) {
    this.forwarder = forwarder;
    this.route = route;
    this.request = request;
    this.onOutcome = onOutcome;
    this.limitMs = startedMs + Math.min(timeoutMs, route.timeoutMs());
    this.deadlineMs = Math.min(limitMs, forwarder.stopEndMs());
    this.service = route.selectService(ThreadLocalRandom.current().nextInt());
    this.fingerprint = EndpointCrashes.fingerprint(request);
    this.usage = forwarder.usage().begin(request.customer().name());
  }

  void start() {
    long quarantineMs = forwarder.crashes().quarantineRemainingMs(fingerprint);
    if (quarantineMs > 0) {
      end(new ForwardOutcome.Quarantined(quarantineMs));
      return;
    }
    forwarder.onStarted(this);
    scheduleTimeout();
    if (!sendNext()) {
      end(new ForwardOutcome.NotRun(lastReason, RETRY_AFTER_MS));
    }
  }

  /** Brings the deadline forward. */
  void limitTo(long endMs) {
    if (endMs < deadlineMs) {
      deadlineMs = endMs;
      scheduleTimeout();
    }
  }

  private void scheduleTimeout() {
    forwarder.schedule(this::onTimeout, Math.max(0, deadlineMs - MonotonicClock.nowMs()));
  }

  /** Cancels the attempts on all endpoints. The outcome listener is not called afterwards. */
  public void cancel() {
    ended = true;
    forwarder.onEnded(this);
    cancelRunning(false);
  }

  private void cancelRunning(boolean answered) {
    List<HttpCall> calls = List.copyOf(running.values());
    inFlight
        .values()
        .forEach(
            endpoint -> {
              forwarder.tracker().onEnded(endpoint.id());
              if (answered) {
                forwarder.crashes().onEnded(fingerprint, endpoint);
              } else {
                forwarder.crashes().onSilent(fingerprint, endpoint);
              }
            });
    inFlight.clear();
    running.clear();
    calls.forEach(HttpCall::cancel);
  }

  private boolean isRepeatable() {
    return route.kind() == RouteKind.SAFE;
  }

  /** Sends the request to another endpoint if the limits allow it and one is available. */
  private boolean sendNext() {
    long nowMs = MonotonicClock.nowMs();
    if (ended || attempts >= route.attempts() || nowMs >= deadlineMs || service == null) {
      return false;
    }
    if (!forwarder.maySend(route, service, limitMs - nowMs, nowMs)) {
      lastReason = "the node is stopping";
      return false;
    }
    Endpoint endpoint = forwarder.choose(service, fingerprint, tried, request.body().length);
    if (endpoint == null) {
      return false;
    }
    tried.add(endpoint.id());
    attempts++;
    inFlight.put(endpoint.id(), endpoint);
    forwarder.tracker().onSent(endpoint.id());
    forwarder.crashes().onSent(fingerprint, endpoint);
    usage.onSent(endpoint.id(), forwarder.usage().timeMs());
    HttpCall call =
        forwarder
            .endpoints()
            .send(
                endpoint, request, deadlineMs - nowMs, result -> onAttemptResult(endpoint, result));
    if (inFlight.containsKey(endpoint.id())) {
      running.put(endpoint.id(), call);
    }
    if (isRepeatable()) {
      forwarder.schedule(() -> hedge(endpoint), HEDGE_DELAY_MS);
    }
    return true;
  }

  private void hedge(Endpoint slow) {
    if (!ended && inFlight.containsKey(slow.id()) && inFlight.size() == 1 && sendNext()) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("request-hedged")
              .with("request", request.requestId())
              .with("endpoint", slow.id())
              .with("elapsedMs", MonotonicClock.nowMs() - startedMs));
    }
  }

  private void onAttemptResult(Endpoint endpoint, AttemptResult result) {
    if (inFlight.remove(endpoint.id()) == null) {
      return;
    }
    running.remove(endpoint.id());
    forwarder.tracker().onEnded(endpoint.id());
    long nowMs = MonotonicClock.nowMs();
    switch (result) {
      case AttemptResult.Answered answered -> {
        forwarder.crashes().onAnswered(fingerprint, endpoint);
        recordLoad(endpoint, answered.load(), nowMs);
        if (answered.response().status() >= SERVER_ERROR && isRepeatable()) {
          failedResponse = answered;
          maybeRan = true;
          lastReason = "endpoint responded with status " + answered.response().status();
          onAttemptFailed(endpoint);
        } else {
          forwarder.tracker().onFinished(endpoint.id());
          logAnswered(endpoint, answered.response().status());
          end(new ForwardOutcome.Answered(answered.response()));
        }
      }
      case AttemptResult.NotRun notRun -> {
        usage.onRefused(endpoint.id());
        forwarder.crashes().onEnded(fingerprint, endpoint);
        recordLoad(endpoint, notRun.load(), nowMs);
        forwarder.tracker().onRefused(endpoint.id(), nowMs + REFUSED_PAUSE_MS);
        attempts--;
        lastReason = notRun.reason();
        onAttemptFailed(endpoint);
      }
      case AttemptResult.Lost lost -> {
        if (lost.connectionClosed()) {
          forwarder.crashes().onConnectionClosed(fingerprint, endpoint);
        } else {
          forwarder.crashes().onSilent(fingerprint, endpoint);
        }
        forwarder.tracker().onFailed(endpoint.id(), nowMs);
        maybeRan = true;
        lastReason = lost.reason();
        onAttemptFailed(endpoint);
      }
    }
  }

  private void logAnswered(Endpoint endpoint, int status) {
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("request-answered")
            .with("request", request.requestId())
            .with("endpoint", endpoint.id())
            .with("status", status)
            .with("tried", List.copyOf(tried))
            .with("elapsedMs", MonotonicClock.nowMs() - startedMs));
  }

  private void recordLoad(Endpoint endpoint, EndpointClient.LoadReport load, long nowMs) {
    if (load != null) {
      forwarder.tracker().onReport(endpoint.id(), load.running(), load.waiting(), nowMs);
    }
  }

  private void onAttemptFailed(Endpoint endpoint) {
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("attempt-failed")
            .with("request", request.requestId())
            .with("endpoint", endpoint.id())
            .with("elapsedMs", MonotonicClock.nowMs() - startedMs)
            .with("reason", lastReason));
    boolean maySend = isRepeatable() || !maybeRan;
    if ((maySend && sendNext()) || !inFlight.isEmpty()) {
      return;
    }
    if (failedResponse != null) {
      end(new ForwardOutcome.Answered(failedResponse.response()));
    } else if (MonotonicClock.nowMs() >= deadlineMs) {
      // The timeouts of the last attempt and of the call end at the same time, in either order.
      end(new ForwardOutcome.TimedOut());
    } else if (maybeRan) {
      end(new ForwardOutcome.Lost(lastReason));
    } else {
      end(new ForwardOutcome.NotRun(lastReason, RETRY_AFTER_MS));
    }
  }

  private void onTimeout() {
    end(new ForwardOutcome.TimedOut());
  }

  private void end(ForwardOutcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    forwarder.onEnded(this);
    cancelRunning(outcome instanceof ForwardOutcome.Answered);
    recordDuration(outcome);
    if (!(outcome instanceof ForwardOutcome.Answered)) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("request-failed")
              .with("request", request.requestId())
              .with("route", route.name())
              .with("tried", List.copyOf(tried))
              .with("outcome", outcome)
              .with("elapsedMs", MonotonicClock.nowMs() - startedMs));
    }
    forwarder.metrics().onRequest(route.kind(), label(outcome), MonotonicClock.nowMs() - startedMs);
    onOutcome.accept(outcome);
  }

  private void recordDuration(ForwardOutcome outcome) {
    if (outcome instanceof ForwardOutcome.Answered || outcome instanceof ForwardOutcome.TimedOut) {
      forwarder.onDuration(service, MonotonicClock.nowMs() - startedMs);
    }
  }

  private static String label(ForwardOutcome outcome) {
    return switch (outcome) {
      case ForwardOutcome.Answered answered ->
          answered.response().status() < SERVER_ERROR ? "answered" : "answered_with_error";
      case ForwardOutcome.NotRun notRun -> "not_run";
      case ForwardOutcome.Quarantined quarantined -> "quarantined";
      case ForwardOutcome.Lost lost -> "lost";
      case ForwardOutcome.TimedOut timedOut -> "timed_out";
    };
  }
}
