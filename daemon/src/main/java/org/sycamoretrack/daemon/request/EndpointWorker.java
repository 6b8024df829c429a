package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.connection.EndpointStats;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.AdmissionQueue;
import org.sycamoretrack.core.request.AdmissionResult;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.InFlightCounts;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.PoisonRequestDetector;
import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.EngineFailure;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.daemon.process.NodeMetrics;

/**
 * The queue in front of one model engine and the attempts that run on it.
 *
 * <p>The engine admits requests in the order of their arrival, so the worker decides the order: it
 * sends as many requests as the {@link ConcurrencyLimit} allows, and the rest wait in the {@link
 * AdmissionQueue}.
 *
 * <p>When a stream closes early, the worker waits {@value #CRASH_CHECK_DELAY_MS} ms. If all
 * attempts that were running at that time have ended by then, it asks the engine for its load. If
 * the engine can't be reached, it has crashed: the crash is attributed to its requests in the
 * {@link PoisonGuard} before any of them is reported as failed, so that a request that crashes
 * engines is already suspected before it can be sent to the next engine.
 *
 * <p>All state is confined to the event loop. Invariant: an attempt is in exactly one of {@code
 * queue}, {@code held} and {@code running}, or it waits for a crash check, or it has ended. The
 * listener of an ended attempt was notified once, unless the attempt was cancelled.
 */
final class EndpointWorker {
  private static final int TICK_INTERVAL_MS = 50;
  private static final int CRASH_CHECK_DELAY_MS = 50;
  private static final int INITIAL_LIMIT = 32;
  private static final int MIN_LIMIT = 2;
  private static final double LATENCY_TOLERANCE = 2.0;

  private final EndpointTarget target;
  private final EventLoop loop;
  private final EngineClient client;
  private final PoisonGuard poison;
  private final NodeLimits limits;
  private final NodeMetrics metrics;
  private final AdmissionQueue<EndpointAttempt> queue;
  private final ConcurrencyLimit limit;
  private final EndpointStats stats = new EndpointStats();
  private final Set<EndpointAttempt> running = new HashSet<>();
  private final Deque<EndpointAttempt> held = new ArrayDeque<>();
  private final Set<EndpointAttempt> closedEarly = new HashSet<>();
  private InFlightCounts inFlight = InFlightCounts.NONE;
  private boolean crashCheckPending;
  private boolean ticking;
  private volatile EndpointView view;
  private volatile long lastVersion;
  private volatile double poolTimePerTokenMs;

  EndpointWorker(
      EndpointTarget target,
      EventLoop loop,
      EngineClient client,
      PoisonGuard poison,
      NodeLimits limits,
      NodeMetrics metrics) {
    this.target = target;
    this.loop = loop;
    this.client = client;
    this.poison = poison;
    this.limits = limits;
    this.metrics = metrics;
    this.queue =
        AdmissionQueue.builder()
            .interactiveCapacity(limits.endpointQueue())
            .rolloutCapacity(limits.endpointQueue())
            .build();
    int maxConcurrency = limits.maxEndpointConcurrency();
    this.limit =
        ConcurrencyLimit.gradient(
            new LimitSettings(
                Math.min(INITIAL_LIMIT, maxConcurrency),
                Math.min(MIN_LIMIT, maxConcurrency),
                maxConcurrency,
                LATENCY_TOLERANCE));
    publishView();
  }

  EndpointTarget target() {
    return target;
  }

  /** Returns a snapshot of the load and latency. May be called from any thread. */
  EndpointView view() {
    return view;
  }

  /**
   * Returns the weight version of the latest chunk, 0 before the first. May be called from any
   * thread.
   */
  long lastVersion() {
    return lastVersion;
  }

  /**
   * Sets the pool's median time per token, against which slow endpoints are ejected. May be called
   * from any thread.
   */
  void setPoolTimePerTokenMs(double timePerTokenMs) {
    poolTimePerTokenMs = timePerTokenMs;
  }

  /**
   * Queues a request and runs it on the engine when it is admitted. May be called from any thread.
   *
   * @param request the request
   * @param listener receives the generated output, on the worker's event loop
   */
  Generation run(GenerationRequest request, GenerationListener listener) {
    EndpointAttempt attempt = new EndpointAttempt(this, request, listener);
    execute(() -> enqueue(attempt));
    return () -> execute(() -> cancel(attempt));
  }

  private void execute(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }

  private void enqueue(EndpointAttempt attempt) {
    GenerationRequest request = attempt.request();
    long nowMs = MonotonicClock.nowMs();
    long deadlineMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos());
    int expectedTokens = Math.max(1, request.maxTokens() - request.priorTokens());
    QueueFlow flow = QueueFlow.of(request.flow());
    if (!queue.offer(attempt, request.requestClass(), flow, expectedTokens, deadlineMs, nowMs)) {
      attempt.fail(
          GenerationFailure.notRun(
              ErrorCode.OVERLOADED, "the queue of endpoint " + target.name() + " is full"));
      return;
    }
    startTicking();
    startNext();
  }

  private void startNext() {
    startHeld();
    while (true) {
      AdmissionResult<EndpointAttempt> polled =
          queue.poll(MonotonicClock.nowMs(), inFlight, limit.limit());
      switch (polled) {
        case AdmissionResult.Admitted<EndpointAttempt> admitted -> {
          metrics.onAttempt(admitted.requestClass(), admitted.waitedMs());
          start(admitted.item());
        }
        case AdmissionResult.Expired<EndpointAttempt> expired -> expire(expired.item());
        case AdmissionResult.NoneReady<EndpointAttempt> noneReady -> {
          publishView();
          return;
        }
      }
    }
  }

  private static void expire(EndpointAttempt attempt) {
    attempt.fail(
        GenerationFailure.notRun(
            ErrorCode.DEADLINE_EXCEEDED,
            "the deadline of the request passed in the queue of the endpoint"));
  }

  private void startHeld() {
    for (int i = held.size(); i > 0; i--) {
      start(held.poll());
    }
  }

  private void start(EndpointAttempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    if (System.nanoTime() - attempt.request().deadlineNanos() >= 0) {
      expire(attempt);
      return;
    }
    switch (verdict(attempt)) {
      case RUN -> send(attempt);
      case HOLD -> held.add(attempt);
      case QUARANTINED ->
          attempt.fail(
              GenerationFailure.notRun(
                  ErrorCode.QUARANTINED, "the request crashed endpoints and is quarantined"));
    }
  }

  private PoisonRequestDetector.Verdict verdict(EndpointAttempt attempt) {
    return attempt.countsCrashes()
        ? poison.verdict(attempt.fingerprint(), target.name())
        : PoisonRequestDetector.Verdict.RUN;
  }

  private void endWithoutCrash(EndpointAttempt attempt) {
    if (attempt.countsCrashes()) {
      poison.onEnd(attempt.fingerprint(), target.name());
    }
  }

  private void send(EndpointAttempt attempt) {
    running.add(attempt);
    inFlight = inFlight.plus(attempt.request().requestClass());
    limit.onStart();
    stats.onStart(MonotonicClock.nowMs());
    if (attempt.countsCrashes()) {
      poison.onStart(attempt.fingerprint(), target.name());
    }
    attempt.send(client, target, limits, loop);
  }

  /** Updates the statistics with a chunk of a running attempt. */
  void onTokens(
      EndpointAttempt attempt, double elapsedMs, boolean isFirstChunk, int tokens, long version) {
    long nowMs = MonotonicClock.nowMs();
    metrics.onTokens(attempt.request().requestClass(), tokens);
    lastVersion = version;
    if (isFirstChunk) {
      stats.onFirstToken(nowMs, elapsedMs);
    } else {
      stats.onTokens(nowMs, elapsedMs, tokens);
      limit.onProgress(Math.max(1, (long) (elapsedMs * 1_000_000)), tokens);
    }
  }

  /** Ends a running attempt that succeeded. */
  void onFinished(EndpointAttempt attempt, String finishReason) {
    if (removeRunning(attempt)) {
      limit.onSuccess(1, 0);
      stats.onSuccess();
      if (attempt.countsCrashes()) {
        poison.onSuccess(attempt.fingerprint(), target.name());
      }
      attempt.finish(finishReason);
    }
    startNext();
  }

  /**
   * Ends a running attempt that failed. If its stream closed early, the failure is reported after
   * the crash check.
   */
  void onFailed(EndpointAttempt attempt, EngineFailure failure) {
    if (!removeRunning(attempt)) {
      return;
    }
    limit.onDropped();
    metrics.onAttemptFailed(failure.outcome());
    stats.onFailure(MonotonicClock.nowMs());
    attempt.setPendingFailure(toFailure(failure));
    if (failure.kind() == EngineFailure.Kind.CLOSED_EARLY) {
      closedEarly.add(attempt);
      scheduleCrashCheck();
    } else {
      endWithoutCrash(attempt);
      attempt.failWithPending(false);
    }
    startNext();
  }

  private GenerationFailure toFailure(EngineFailure failure) {
    ErrorCode code =
        failure.kind() == EngineFailure.Kind.REFUSED
            ? ErrorCode.OVERLOADED
            : ErrorCode.ENDPOINT_FAILED;
    return new GenerationFailure(
        code, failure.outcome(), false, "endpoint " + target.name() + ": " + failure.message());
  }

  private void scheduleCrashCheck() {
    if (!crashCheckPending) {
      crashCheckPending = true;
      Set<EndpointAttempt> runningAtFirstClose = new HashSet<>(running);
      loop.schedule(
          () -> checkForCrash(runningAtFirstClose), CRASH_CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void checkForCrash(Set<EndpointAttempt> runningAtFirstClose) {
    Set<EndpointAttempt> failed = Set.copyOf(closedEarly);
    closedEarly.clear();
    if (runningAtFirstClose.stream().anyMatch(running::contains)) {
      crashCheckPending = false;
      reportFailures(failed, false);
      return;
    }
    client
        .loadReport(target.address())
        .whenComplete(
            (load, failure) ->
                execute(
                    () -> {
                      crashCheckPending = false;
                      reportFailures(failed, isUnreachable(failure));
                      if (!closedEarly.isEmpty()) {
                        scheduleCrashCheck();
                      }
                    }));
  }

  private static boolean isUnreachable(Throwable failure) {
    return failure != null && ErrorResponses.toError(failure).outcome() == ExecutionOutcome.NOT_RUN;
  }

  private void reportFailures(Set<EndpointAttempt> failed, boolean crashed) {
    if (crashed) {
      poison.onEndpointCrash(target.name());
    }
    for (EndpointAttempt attempt : failed) {
      if (!crashed) {
        endWithoutCrash(attempt);
      }
      attempt.failWithPending(crashed);
    }
    startNext();
  }

  private boolean removeRunning(EndpointAttempt attempt) {
    if (!running.remove(attempt)) {
      return false;
    }
    inFlight = inFlight.minus(attempt.request().requestClass());
    return true;
  }

  private void cancel(EndpointAttempt attempt) {
    attempt.endSilently();
    if (removeRunning(attempt)) {
      limit.onCancelled();
      stats.onCancelled();
      endWithoutCrash(attempt);
      attempt.cancelCall();
    } else {
      queue.remove(attempt);
      held.remove(attempt);
    }
    startNext();
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    stats.update(MonotonicClock.nowMs(), poolTimePerTokenMs);
    startNext();
    boolean idle = running.isEmpty() && queue.size() == 0 && held.isEmpty();
    ticking = false;
    if (!idle || view.ejection() != org.sycamoretrack.core.connection.EjectionState.IN_USE) {
      startTicking();
    }
  }

  private void publishView() {
    view =
        stats
            .view(target.name(), target.zone(), MonotonicClock.nowMs())
            .limit(limit.limit())
            .queuedTokens(queue.queuedTokens())
            .servedVersion(lastVersion)
            .build();
  }
}
