package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.request.Backoff;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * The execution of one request over all its attempts, which may use different endpoints.
 *
 * <p>A failed attempt is followed by another one, which continues after the tokens generated so
 * far. The listener receives one continuous output; each chunk names the weight version that
 * generated it. Callbacks carry the number of their attempt, so those of an abandoned attempt are
 * dropped.
 *
 * <p>A request that is not repeatable ends with the first failure after which it may have run.
 *
 * <p>Example: attempt 1 generates 120 tokens with version 7, then its engine crashes; attempt 2
 * continues at token 120 on another engine with version 8. The listener receives 120 tokens of
 * version 7, the remaining tokens of version 8, and one call of {@code onFinished}.
 *
 * <p>Confined to the event loop, except for {@link #endpoint}, {@link #cancel} and {@link #moveTo}.
 */
final class GenerationRun implements Generation {
  private static final System.Logger LOG = System.getLogger(GenerationRun.class.getName());
  private static final int MAX_ATTEMPTS = 8;
  private static final int BASE_BACKOFF_MS = 20;
  private static final int MAX_BACKOFF_MS = 500;
  private static final int MAX_WAIT_FOR_ENDPOINT_MS = 5_000;

  private final Dispatcher dispatcher;
  private final GenerationRequest request;
  private final GenerationListener listener;
  private final EventLoop loop;
  private final StringBuilder text;
  private final Set<String> excluded = new HashSet<>();
  private final Backoff backoff =
      new Backoff(BASE_BACKOFF_MS, MAX_BACKOFF_MS, ThreadLocalRandom.current());
  private int tokens;
  private int tokensAtAttemptStart;
  private int attemptNumber;
  private int failures;
  private int endpointWaits;
  private long waitingSinceNanos;
  private Generation currentAttempt;
  private volatile String endpoint = "";
  private boolean ended;

  GenerationRun(
      Dispatcher dispatcher,
      GenerationRequest request,
      GenerationListener listener,
      EventLoop loop) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.listener = listener;
    this.loop = loop;
    this.text = new StringBuilder(request.priorText());
    this.tokens = request.priorTokens();
  }

  /** Starts the first attempt. Must be called on the event loop. */
  void start() {
    waitingSinceNanos = System.nanoTime();
    startNextAttempt();
  }

  private void startNextAttempt() {
    if (ended) {
      return;
    }
    if (System.nanoTime() - request.deadlineNanos() >= 0) {
      fail(
          new GenerationFailure(
              ErrorCode.DEADLINE_EXCEEDED, outcome(), false, "the deadline of the request passed"));
      return;
    }
    Optional<EndpointRoute> route = dispatcher.choose(request, excluded);
    if (route.isPresent()) {
      beginAttempt(route.get());
    } else {
      waitForEndpoint();
    }
  }

  private ExecutionOutcome outcome() {
    return tokens > 0 ? ExecutionOutcome.RAN : ExecutionOutcome.NOT_RUN;
  }

  private void waitForEndpoint() {
    excluded.clear();
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - waitingSinceNanos);
    if (waitedMs >= MAX_WAIT_FOR_ENDPOINT_MS) {
      String message = "no endpoint of the pools " + request.pools() + " is in service";
      fail(new GenerationFailure(ErrorCode.NO_ENDPOINT, outcome(), false, message));
      return;
    }
    scheduleNextAttempt(backoff.delayMs(++endpointWaits));
  }

  private void scheduleNextAttempt(long delayMs) {
    loop.schedule(this::startNextAttempt, delayMs, TimeUnit.MILLISECONDS);
  }

  private void beginAttempt(EndpointRoute route) {
    attemptNumber++;
    tokensAtAttemptStart = tokens;
    endpointWaits = 0;
    endpoint = route.target().name();
    GenerationRequest continued =
        tokens == request.priorTokens()
            ? request
            : request.toBuilder().prior(text.toString(), tokens).build();
    currentAttempt = dispatcher.gateway().run(route, continued, new AttemptListener(attemptNumber));
  }

  /** Returns the endpoint of the latest attempt, empty before the first. */
  @Override
  public String endpoint() {
    return endpoint;
  }

  @Override
  public void moveTo(String newEndpoint) {
    runOnLoop(
        () -> {
          Optional<EndpointRoute> route = dispatcher.route(newEndpoint);
          if (!ended && currentAttempt != null && route.isPresent()) {
            currentAttempt.cancel();
            beginAttempt(route.get());
          }
        });
  }

  @Override
  public void cancel() {
    runOnLoop(
        () -> {
          ended = true;
          if (currentAttempt != null) {
            currentAttempt.cancel();
          }
        });
  }

  private void onAttemptTokens(String newText, int newTokens, long version) {
    if (version < request.oldestVersion()) {
      abandonStaleAttempt();
      return;
    }
    text.append(newText);
    tokens += newTokens;
    listener.onTokens(newText, newTokens, version);
  }

  /** Abandons an attempt whose engine generates with weights older than the request allows. */
  private void abandonStaleAttempt() {
    currentAttempt.cancel();
    currentAttempt = null;
    attemptNumber++;
    excluded.add(endpoint);
    waitingSinceNanos = System.nanoTime();
    scheduleNextAttempt(backoff.delayMs(1));
  }

  private void onAttemptFailed(GenerationFailure failure) {
    currentAttempt = null;
    failures++;
    ExecutionOutcome outcomeSoFar = tokens > 0 ? ExecutionOutcome.RAN : failure.outcome();
    if (!mayContinue(failure, outcomeSoFar)) {
      fail(new GenerationFailure(failure.code(), outcomeSoFar, false, failure.message()));
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("attempt-failed")
            .with("request", request.id())
            .with("endpoint", endpoint)
            .with("code", failure.code().wireName())
            .with("tokens", tokens)
            .with("reason", failure.message()));
    excluded.add(endpoint);
    waitingSinceNanos = System.nanoTime();
    scheduleNextAttempt(backoff.delayMs(Math.max(1, failures)));
  }

  private boolean mayContinue(GenerationFailure failure, ExecutionOutcome outcomeSoFar) {
    boolean terminal =
        switch (failure.code()) {
          case QUARANTINED, DEADLINE_EXCEEDED, INVALID_REQUEST -> true;
          default -> false;
        };
    if (terminal || (!request.repeatable() && outcomeSoFar != ExecutionOutcome.NOT_RUN)) {
      return false;
    }
    boolean progressed = tokens > tokensAtAttemptStart;
    return progressed || (failures < MAX_ATTEMPTS && dispatcher.tryRetry(request.requestClass()));
  }

  private void fail(GenerationFailure failure) {
    if (!ended) {
      ended = true;
      listener.onFailed(failure);
    }
  }

  private void runOnLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }

  /** Receives the callbacks of one attempt and drops those that arrive after it was abandoned. */
  private final class AttemptListener implements GenerationListener {
    private final int number;

    private AttemptListener(int number) {
      this.number = number;
    }

    private void runIfCurrent(Runnable action) {
      runOnLoop(
          () -> {
            if (!ended && number == attemptNumber) {
              action.run();
            }
          });
    }

    @Override
    public void onTokens(String newText, int newTokens, long version) {
      runIfCurrent(() -> onAttemptTokens(newText, newTokens, version));
    }

    @Override
    public void onFinished(String finishReason) {
      runIfCurrent(
          () -> {
            ended = true;
            listener.onFinished(finishReason);
          });
    }

    @Override
    public void onFailed(GenerationFailure failure) {
      runIfCurrent(() -> onAttemptFailed(failure));
    }
  }
}
