package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.connection.EjectionState;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.StepState;
import org.sycamoretrack.core.request.scoring.ScoreDecision;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;
import org.sycamoretrack.core.request.scoring.ScoreProgress;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Runs a step until all its slots have samples, and responds to the polls of its trainer.
 *
 * <p>The runner owns the step as long as it is polled. Its state needn't be durable: each poll
 * contains the slots that the trainer has received, and the next owner regenerates what is lost
 * with the node. A poll gets its response as soon as samples are ready; samples that finish within
 * {@value #GATHER_DELAY_MS} ms share a response. A new poll ends the previous one, whose response
 * is no longer read.
 *
 * <p>The staleness of samples is checked three times: a slot runs only on engines with a version
 * that the trainer accepts, and the sample is checked when it has finished and again when it is
 * delivered, against the version in the latest poll.
 *
 * <p>Confined to its event loop.
 */
final class StepRunner {
  private static final System.Logger LOG = System.getLogger(StepRunner.class.getName());
  private static final int GATHER_DELAY_MS = 20;
  private static final int TICK_INTERVAL_MS = 200;
  private static final int RETRY_DELAY_MS = 200;

  /** The number of errors of the scorer after which a sample is delivered without a score. */
  private static final int MAX_SCORE_FAILURES = 6;

  private static final long SAMPLE_TIMEOUT_MINUTES = 30;
  private static final int WINDOW_MARGIN = 8;

  private final StepSpec spec;
  private final StepServices services;
  private final EventLoop loop;
  private final StepState state;
  private final Map<Integer, SlotRun> running = new HashMap<>();
  private final SampleMover mover = new SampleMover();
  private final ScheduledFuture<?> ticker;
  private TrackSettings trackSettings;
  private long trainsVersion;
  private WaitingPoll waitingPoll;
  private long countedChars;
  private long generatedTokens;
  private int restored;
  private int staleAtFinish;
  private volatile long lastPollNanos = System.nanoTime();
  private boolean closed;

  StepRunner(StepSpec spec, TrackSettings trackSettings, StepServices services, EventLoop loop) {
    this.spec = spec;
    this.trackSettings = trackSettings;
    this.services = services;
    this.loop = loop;
    this.state = new StepState(spec);
    this.trainsVersion = spec.trainsVersion();
    this.ticker =
        loop.scheduleAtFixedRate(
            this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** A poll that waits for samples. */
  private record WaitingPoll(
      HttpExchange exchange, StepCodec.Poll poll, ScheduledFuture<?> timeout, long sinceNanos) {}

  StepSpec spec() {
    return spec;
  }

  EventLoop loop() {
    return loop;
  }

  /** Returns the time since the last poll, in milliseconds. May be called from any thread. */
  long idleMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastPollNanos);
  }

  /** Starts the step with the samples that earlier owners finished. */
  void start(List<Sample> finished) {
    for (Sample sample : finished) {
      if (sample.slot() < spec.slots() && state.finish(sample)) {
        restored++;
      }
    }
    updateMemoryUse();
    dispatch();
  }

  // Polls.

  /** Responds to a poll immediately or as soon as a sample is ready. */
  void poll(byte[] body, HttpExchange exchange) {
    StepCodec.Poll poll = StepCodec.parsePoll(body, spec.slots());
    lastPollNanos = System.nanoTime();
    trainsVersion = Math.max(trainsVersion, poll.trainsVersion());
    endWaitingPoll();
    for (int slot : state.acknowledge(poll.received())) {
      SlotRun run = running.remove(slot);
      if (run != null) {
        run.cancel();
      }
    }
    updateMemoryUse();
    if (!respondIfReady(exchange, poll)) {
      ScheduledFuture<?> timeout =
          loop.schedule(this::endWaitingPoll, poll.waitMs(), TimeUnit.MILLISECONDS);
      WaitingPoll newPoll = new WaitingPoll(exchange, poll, timeout, System.nanoTime());
      waitingPoll = newPoll;
      exchange.onClientDisconnect(() -> loop.execute(() -> onPollAbandoned(newPoll)));
    }
    dispatch();
  }

  private void onPollAbandoned(WaitingPoll abandoned) {
    if (abandoned.equals(waitingPoll)) {
      waitingPoll = null;
      abandoned.timeout().cancel(false);
    }
  }

  private boolean respondIfReady(HttpExchange exchange, StepCodec.Poll poll) {
    List<Sample> samples = state.deliverable(oldestVersion(), poll.maxSamples());
    if (samples.isEmpty() && !state.isComplete() && poll.waitMs() > 0) {
      return false;
    }
    services.metrics().onPollResponse(0);
    respond(exchange, samples);
    return true;
  }

  private void respond(HttpExchange exchange, List<Sample> samples) {
    for (Sample sample : samples) {
      services.metrics().onSampleOffered(trainsVersion - sample.oldestVersion());
    }
    ObjectNode response = StepCodec.pollResponse(spec, state.isComplete(), samples);
    exchange.respond(HttpResponse.json(200, response));
  }

  private void endWaitingPoll() {
    if (waitingPoll != null) {
      WaitingPoll ended = waitingPoll;
      waitingPoll = null;
      ended.timeout().cancel(false);
      services
          .metrics()
          .onPollResponse(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ended.sinceNanos()));
      respond(ended.exchange(), state.deliverable(oldestVersion(), ended.poll().maxSamples()));
    }
  }

  private void scheduleWaitingPollResponse() {
    if (waitingPoll != null && state.finished() == 1) {
      loop.schedule(this::respondToWaitingPoll, GATHER_DELAY_MS, TimeUnit.MILLISECONDS);
    } else if (waitingPoll != null && state.finished() >= waitingPoll.poll().maxSamples()) {
      respondToWaitingPoll();
    }
  }

  private void respondToWaitingPoll() {
    if (waitingPoll != null && state.finished() > 0) {
      endWaitingPoll();
    }
  }

  private long oldestVersion() {
    return trackSettings.oldestVersion(trainsVersion);
  }

  // Generation.

  private void dispatch() {
    if (closed) {
      return;
    }
    int window = window();
    while (running.size() < window && services.memory().hasRoom()) {
      OptionalInt slot = state.startNext();
      if (slot.isEmpty()) {
        return;
      }
      generate(slot.getAsInt());
    }
  }

  private int window() {
    int capacity = 0;
    for (EndpointRoute route : services.routes().get().ofPools(trackSettings.pools())) {
      EndpointView view = route.view();
      if (view.inService() && view.ejection() == EjectionState.IN_USE) {
        capacity += view.limit();
      }
    }
    return capacity + WINDOW_MARGIN;
  }

  private void generate(int slot) {
    SlotRun run = new SlotRun(this, slot, state.attempt(slot));
    running.put(slot, run);
    long deadlineNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(SAMPLE_TIMEOUT_MINUTES);
    GenerationRequest request =
        GenerationRequest.builder(spec.id().key() + '/' + slot)
            .pools(trackSettings.pools())
            .prompt(spec.promptOf(slot))
            .maxTokens(spec.maxTokens())
            .seed(spec.seedOf(slot))
            .requestClass(RequestClass.ROLLOUT)
            .flow(spec.id().track())
            .deadlineNanos(deadlineNanos)
            .oldestVersion(oldestVersion())
            .build();
    run.setGeneration(services.generator().generate(request, run, loop));
  }

  /** Called when the sample of a slot is finished. Scores it if the track has a scorer. */
  void onSlotFinished(SlotRun run, Sample sample) {
    if (isSuperseded(run)) {
      return;
    }
    generatedTokens += sample.tokens();
    if (sample.oldestVersion() < oldestVersion()) {
      staleAtFinish++;
      services.metrics().onSampleTooOld();
      running.remove(run.slot());
      state.fail(run.slot());
      dispatch();
    } else if (trackSettings.scorer() == null) {
      accept(run, sample);
    } else {
      score(run, sample, new ScoreProgress(MonotonicClock.nowMs()));
    }
  }

  private void score(SlotRun run, Sample sample, ScoreProgress progress) {
    progress.onSent();
    services
        .scorer()
        .score(trackSettings.scorer(), spec, sample, progress.timeoutMs())
        .thenAccept(outcome -> loop.execute(() -> onScored(run, sample, progress, outcome)));
  }

  private void onScored(SlotRun run, Sample sample, ScoreProgress progress, ScoreOutcome outcome) {
    if (isSuperseded(run)) {
      return;
    }
    long nowMs = MonotonicClock.nowMs();
    switch (progress.onOutcome(outcome, MAX_SCORE_FAILURES, nowMs)) {
      case ScoreDecision.Accept accept ->
          accept(run, sample.withScore(Double.valueOf(accept.score())));
      case ScoreDecision.Retry retry -> {
        logScoring("scoring-failed", sample, retry.reason());
        loop.schedule(
            () -> {
              if (!isSuperseded(run)) {
                score(run, sample, progress);
              }
            },
            retry.atMs() - nowMs,
            TimeUnit.MILLISECONDS);
      }
      case ScoreDecision.Abandon abandon -> {
        logScoring("scoring-abandoned", sample, abandon.reason());
        accept(run, sample);
      }
    }
  }

  /** Returns whether the step is closed or another run has taken the slot of a run. */
  private boolean isSuperseded(SlotRun run) {
    return closed || running.get(run.slot()) != run;
  }

  private void logScoring(String event, Sample sample, String reason) {
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of(event)
            .with("track", spec.id().track())
            .with("step", spec.id().step())
            .with("slot", sample.slot())
            .with("reason", reason));
  }

  private void accept(SlotRun run, Sample sample) {
    running.remove(run.slot());
    if (state.finish(sample)) {
      updateMemoryUse();
      services.metrics().onSampleFinished();
      services.sink().onFinished(spec, sample);
      scheduleWaitingPollResponse();
    }
    dispatch();
  }

  private void updateMemoryUse() {
    services.memory().add(state.finishedChars() - countedChars);
    countedChars = state.finishedChars();
  }

  /** Called when generation of a slot has failed. Schedules a retry. */
  void onSlotFailed(SlotRun run, GenerationFailure failure) {
    if (isSuperseded(run)) {
      return;
    }
    running.remove(run.slot());
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("sample-failed")
            .with("track", spec.id().track())
            .with("step", spec.id().step())
            .with("slot", run.slot())
            .with("code", failure.code().wireName())
            .with("reason", failure.message()));
    loop.schedule(() -> retry(run.slot()), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  private void retry(int slot) {
    state.fail(slot);
    dispatch();
  }

  // Maintenance.

  private void tick() {
    services.trackSettings().apply(spec.id().track()).ifPresent(current -> trackSettings = current);
    dispatch();
    List<EndpointView> views =
        services.routes().get().ofPools(trackSettings.pools()).stream()
            .map(EndpointRoute::view)
            .toList();
    mover.moveQueued(running.values(), views);
    mover.moveStragglers(
        running,
        new SampleMover.Progress(spec.slots(), spec.maxTokens(), state.waiting(), generatedTokens),
        views);
  }

  /** Cancels the active generations, responds to a waiting poll, and releases the memory budget. */
  void close() {
    if (closed) {
      return;
    }
    endWaitingPoll();
    closed = true;
    ticker.cancel(false);
    running.values().forEach(SlotRun::cancel);
    running.clear();
    services.memory().add(-countedChars);
  }

  /** Returns the step's state for the state dump. */
  ObjectNode dump() {
    return Json.object()
        .put("track", spec.id().track())
        .put("step", spec.id().step())
        .put("slots", spec.slots())
        .put("waiting", state.waiting())
        .put("running", state.running())
        .put("finished", state.finished())
        .put("received", state.received())
        .put("restored", restored)
        .put("moves", mover.moves())
        .put("movedTokens", mover.movedTokens())
        .put("tokensMade", generatedTokens)
        .put("staleAtFinish", staleAtFinish)
        .put("staleTokensDropped", state.droppedTokens())
        .put("trainsVersion", trainsVersion)
        .put("idleMs", idleMs());
  }
}
