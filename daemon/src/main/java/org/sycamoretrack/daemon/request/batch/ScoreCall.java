package org.sycamoretrack.daemon.request.batch;

import java.util.Set;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.request.scoring.ScoreDecision;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.core.request.scoring.ScoreProgress;
import org.sycamoretrack.core.request.scoring.ScoreRequest;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * The scoring of one item's text: at most one call at a time, repeated as {@link ScoreProgress}
 * decides. The batch is told the score, or that the text remains without one.
 *
 * <p>Confined to the traffic loop.
 */
final class ScoreCall {
  private static final System.Logger LOG = System.getLogger(ScoreCall.class.getName());

  /** The pause of an endpoint that refused a call, until a slot is probably free. */
  private static final long REFUSED_PAUSE_MS = 60;

  private final ScoreScheduler scheduler;
  private final BatchRunner runner;
  private final ItemProgress item;
  private final ScoreRequest request;
  private final ScoreProgress progress;
  private Set<String> avoidedEndpoints = Set.of();
  private Endpoint endpoint;
  private HttpCall call;
  private boolean cancelled;

  ScoreCall(ScoreScheduler scheduler, BatchRunner runner, ItemProgress item, ScoreRequest request) {
    this.scheduler = scheduler;
    this.runner = runner;
    this.item = item;
    this.request = request;
    this.progress = item.scoring().orElseThrow();
  }

  ItemProgress item() {
    return item;
  }

  ScoreRequest request() {
    return request;
  }

  ScoreProgress progress() {
    return progress;
  }

  /** Returns the endpoint of the last call if that call was not successful. */
  Set<String> avoidedEndpoints() {
    return avoidedEndpoints;
  }

  BatchSubmission batch() {
    return runner.batch().submission();
  }

  /** Sends the next call on behalf of the batch's customer. */
  void send(Endpoint target, Route route, RequestCustomer customer) {
    progress.onSent();
    endpoint = target;
    scheduler.admission().onSent(target.id());
    // Both routes limit the attempts of this item; a text is kept as long as either allows.
    int maxFailures = Math.max(route.attempts(), batch().routeSettings().attempts());
    HttpCall started =
        scheduler
            .endpoints()
            .score(
                target,
                request,
                customer,
                progress.timeoutMs(),
                (outcome, load) -> onOutcome(target, outcome, load, maxFailures));
    boolean endedAtOnce = endpoint == null;
    call = endedAtOnce ? null : started;
  }

  /** Cancels the call in flight. The batch is told nothing afterwards. */
  void cancel() {
    cancelled = true;
    if (endpoint != null) {
      scheduler.admission().onEnded(endpoint.id());
      endpoint = null;
    }
    if (call != null) {
      call.cancel();
      call = null;
    }
  }

  private void onOutcome(
      Endpoint target, ScoreOutcome outcome, EndpointClient.LoadReport load, int maxFailures) {
    if (cancelled) {
      return;
    }
    endpoint = null;
    call = null;
    long nowMs = MonotonicClock.nowMs();
    scheduler.admission().onEnded(target.id());
    if (load != null) {
      scheduler.tracker().onReport(target.id(), load.running(), load.waiting(), nowMs);
    }
    recordHealth(target, outcome, nowMs);
    switch (progress.onOutcome(outcome, maxFailures, nowMs)) {
      case ScoreDecision.Accept accept -> {
        scheduler.metrics().onScored(progress.elapsedMs(nowMs));
        runner.complete(item, accept.score());
      }
      case ScoreDecision.Retry retry -> {
        avoidedEndpoints = Set.of(target.id());
        LOG.log(
            System.Logger.Level.INFO,
            describe("score-call-failed")
                .with("endpoint", target.id())
                .with("outcome", outcome.getClass().getSimpleName())
                .with("elapsedMs", progress.elapsedMs(nowMs))
                .with("reason", retry.reason()));
      }
      case ScoreDecision.Abandon abandon ->
          runner.giveUp(item, "scoring failed: " + abandon.reason());
    }
    scheduler.requestDispatch();
  }

  private void recordHealth(Endpoint target, ScoreOutcome outcome, long nowMs) {
    SlotTracker tracker = scheduler.tracker();
    switch (outcome) {
      case ScoreOutcome.Scored scored -> tracker.onFinished(target.id());
      case ScoreOutcome.NotRun notRun -> tracker.onRefused(target.id(), nowMs + REFUSED_PAUSE_MS);
      case ScoreOutcome.Lost lost -> tracker.onFailed(target.id(), nowMs);
      case ScoreOutcome.Failed failed -> {
        // The endpoint itself works and needs no pause.
      }
    }
  }

  /** Returns a log event that identifies the call. */
  LogEvent describe(String event) {
    return LogEvent.of(event)
        .with("batch", batch().id())
        .with("item", item.item().id())
        .with("request", request.id())
        .with("failures", progress.failures());
  }
}
