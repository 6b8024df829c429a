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
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.Flow;
import org.sycamoretrack.core.request.InFlight;
import org.sycamoretrack.core.request.LimitSettings;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.Polled;
import org.sycamoretrack.daemon.farend.EngineClient;
import org.sycamoretrack.daemon.farend.EngineFailure;
import org.sycamoretrack.daemon.process.Metrics;
import org.sycamoretrack.daemon.process.NodeLimits;

/**
 * The queue before one model engine and the requests that run on it.
 *
 * <p>The engine admits requests as they come, so the order is decided here: the engine gets as many
 * requests as the {@link ConcurrencyLimit} allows, the rest wait in the {@link AdmissionQueue}.
 *
 * <p>When streams close early, the worker waits for a moment whether all that ran at that time have
 * closed too, and then asks the engine for its load. If it can't be reached, the engine died, and
 * what it ran is charged in the {@link PoisonGuard} before any of it is reported as failed, so that
 * a request that kills engines is a suspect before it can be sent to the next one.
 *
 * <p>All state is confined to the event loop. Invariant: each task is in one of queue, held or
 * running, or has ended and told its listener once.
 */
final class EndpointWorker {
  private static final int TICK_MS = 50;
  private static final int DEATH_WINDOW_MS = 50;
  private static final int INITIAL_LIMIT = 32;
  private static final int MIN_LIMIT = 2;
  private static final double TOLERANCE = 2.0;

  private final EndpointTarget target;
  private final EventLoop loop;
  private final EngineClient client;
  private final PoisonGuard poison;
  private final NodeLimits limits;
  private final Metrics metrics;
  private final AdmissionQueue<EndpointTask> queue;
  private final ConcurrencyLimit limit;
  private final EndpointStats stats = new EndpointStats();
  private final Set<EndpointTask> running = new HashSet<>();
  private final Deque<EndpointTask> held = new ArrayDeque<>();
  private final Set<EndpointTask> brokenOff = new HashSet<>();
  private InFlight inFlight = InFlight.NONE;
  private boolean deathWindowOpen;
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
      Metrics metrics) {
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
    int max = limits.maxEndpointConcurrency();
    this.limit =
        ConcurrencyLimit.gradient(
            new LimitSettings(
                Math.min(INITIAL_LIMIT, max), Math.min(MIN_LIMIT, max), max, TOLERANCE));
    publishView();
  }

  EndpointTarget target() {
    return target;
  }

  /** Returns a snapshot of load and speed. May be called from any thread. */
  EndpointView view() {
    return view;
  }

  /** Returns the weight version of the newest chunk, 0 before the first. Any thread. */
  long lastVersion() {
    return lastVersion;
  }

  /** Sets the median time for a token of the pool, for the ejection of slow ones. Any thread. */
  void setPoolTimePerTokenMs(double durationMs) {
    poolTimePerTokenMs = durationMs;
  }

  /**
   * Runs a request on the engine as soon as its turn has come. May be called from any thread.
   *
   * @param request the request
   * @param listener receives the answer, on the worker's event loop
   */
  Generation run(GenerationRequest request, GenerationListener listener) {
    EndpointTask task = new EndpointTask(this, request, listener);
    execute(() -> admit(task));
    return () -> execute(() -> cancel(task));
  }

  private void execute(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }

  private void admit(EndpointTask task) {
    GenerationRequest request = task.request();
    long nowMs = MonotonicClock.nowMs();
    long deadlineMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos());
    int expectedTokens = Math.max(1, request.maxTokens() - request.priorTokens());
    Flow flow = Flow.of(request.flow());
    if (!queue.offer(task, request.requestClass(), flow, expectedTokens, deadlineMs, nowMs)) {
      task.fail(
          GenerationFailure.notRun(
              ErrorCode.OVERLOADED, "the queue of endpoint " + target.name() + " is full"));
      return;
    }
    startTicking();
    pump();
  }

  private void pump() {
    startHeld();
    while (true) {
      Polled<EndpointTask> polled = queue.poll(MonotonicClock.nowMs(), inFlight, limit.limit());
      switch (polled) {
        case Polled.Admitted<EndpointTask> admitted -> {
          metrics.onAttempt(admitted.requestClass(), admitted.waitedMs());
          start(admitted.item());
        }
        case Polled.Expired<EndpointTask> expired -> expire(expired.item());
        case Polled.Nothing<EndpointTask> nothing -> {
          publishView();
          return;
        }
      }
    }
  }

  private static void expire(EndpointTask task) {
    task.fail(
        GenerationFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue"));
  }

  private void startHeld() {
    for (int i = held.size(); i > 0; i--) {
      start(held.poll());
    }
  }

  private void start(EndpointTask task) {
    if (task.isEnded()) {
      return;
    }
    if (System.nanoTime() - task.request().deadlineNanos() >= 0) {
      expire(task);
      return;
    }
    switch (poison.verdict(task.fingerprint(), target.name())) {
      case RUN -> send(task);
      case HOLD -> held.add(task);
      case QUARANTINED ->
          task.fail(
              GenerationFailure.notRun(
                  ErrorCode.QUARANTINED, "the request crashed endpoints and is quarantined"));
    }
  }

  private void send(EndpointTask task) {
    running.add(task);
    inFlight = inFlight.plus(task.request().requestClass());
    limit.onStart();
    stats.onStart(MonotonicClock.nowMs());
    poison.onStart(task.fingerprint(), target.name());
    task.send(client, target, limits, loop);
  }

  /** Notes a chunk of a running task. */
  void onTokens(EndpointTask task, double elapsedMs, boolean first, int tokens, long version) {
    long nowMs = MonotonicClock.nowMs();
    metrics.onTokens(task.request().requestClass(), tokens);
    lastVersion = version;
    if (first) {
      stats.onFirstToken(nowMs, elapsedMs);
    } else {
      stats.onTokens(nowMs, elapsedMs, tokens);
      limit.onProgress(Math.max(1, (long) (elapsedMs * 1_000_000)), tokens);
    }
  }

  /** Ends a running task well. */
  void onFinished(EndpointTask task, String finishReason) {
    if (leave(task)) {
      limit.onSuccess(1, 0);
      stats.onSuccess();
      poison.onSuccess(task.fingerprint(), target.name());
      task.finish(finishReason);
    }
    pump();
  }

  /** Ends a running task, or keeps it back until it is known whether the engine died. */
  void onFailed(EndpointTask task, EngineFailure failure) {
    if (!leave(task)) {
      return;
    }
    limit.onDropped();
    metrics.onAttemptFailed(failure.outcome());
    stats.onFailure(MonotonicClock.nowMs());
    task.setFailure(toFailure(failure));
    if (failure.kind() == EngineFailure.Kind.CLOSED_EARLY) {
      brokenOff.add(task);
      openDeathWindow();
    } else {
      poison.onEnd(task.fingerprint(), target.name());
      task.failAsSet(false);
    }
    pump();
  }

  private GenerationFailure toFailure(EngineFailure failure) {
    ErrorCode code =
        failure.kind() == EngineFailure.Kind.REFUSED
            ? ErrorCode.OVERLOADED
            : ErrorCode.ENDPOINT_FAILED;
    return new GenerationFailure(
        code, failure.outcome(), false, "endpoint " + target.name() + ": " + failure.message());
  }

  private void openDeathWindow() {
    if (!deathWindowOpen) {
      deathWindowOpen = true;
      Set<EndpointTask> witnesses = new HashSet<>(running);
      loop.schedule(() -> closeDeathWindow(witnesses), DEATH_WINDOW_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void closeDeathWindow(Set<EndpointTask> witnesses) {
    Set<EndpointTask> lost = Set.copyOf(brokenOff);
    brokenOff.clear();
    if (witnesses.stream().anyMatch(running::contains)) {
      deathWindowOpen = false;
      report(lost, false);
      return;
    }
    client
        .load(target.address())
        .whenComplete(
            (load, failure) ->
                execute(
                    () -> {
                      deathWindowOpen = false;
                      report(lost, isUnreachable(failure));
                      if (!brokenOff.isEmpty()) {
                        openDeathWindow();
                      }
                    }));
  }

  private static boolean isUnreachable(Throwable failure) {
    return failure != null && ErrorAnswers.toError(failure).outcome() == Outcome.NOT_RUN;
  }

  private void report(Set<EndpointTask> lost, boolean died) {
    if (died) {
      poison.onEndpointDeath(target.name());
    }
    for (EndpointTask task : lost) {
      if (!died) {
        poison.onEnd(task.fingerprint(), target.name());
      }
      task.failAsSet(died);
    }
    pump();
  }

  private boolean leave(EndpointTask task) {
    if (!running.remove(task)) {
      return false;
    }
    inFlight = inFlight.minus(task.request().requestClass());
    return true;
  }

  private void cancel(EndpointTask task) {
    task.end();
    if (leave(task)) {
      limit.onCancelled();
      stats.onCancelled();
      poison.onEnd(task.fingerprint(), target.name());
      task.cancelCall();
    } else {
      queue.remove(task);
      held.remove(task);
    }
    pump();
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    stats.update(MonotonicClock.nowMs(), poolTimePerTokenMs);
    pump();
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
