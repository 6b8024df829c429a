package org.sycamoretrack.daemon.request;

import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StragglerPolicy;
import org.sycamoretrack.core.request.VersionSpanCollector;

/** The generation of the sample of a slot. Confined to the event loop of its step. */
final class SlotRun implements GenerationListener {
  private static final double TIME_SMOOTHING_FACTOR = 0.2;
  private static final double NANOS_PER_MS = 1_000_000.0;

  private final StepRunner step;
  private final int slot;
  private final int attempt;
  private final StringBuilder text = new StringBuilder();
  private final VersionSpanCollector spans = new VersionSpanCollector();
  private Generation generation = () -> {};
  private long assignedNanos = System.nanoTime();
  private long lastTokensNanos;
  private long lastVersion;
  private double timePerTokenMs;

  SlotRun(StepRunner step, int slot, int attempt) {
    this.step = step;
    this.slot = slot;
    this.attempt = attempt;
  }

  int slot() {
    return slot;
  }

  void setGeneration(Generation generation) {
    this.generation = generation;
  }

  /** Returns the endpoint of the latest attempt, or an empty string if it is unknown. */
  String endpoint() {
    return generation.endpoint();
  }

  /** Returns the time since the assignment to the current endpoint, or 0 if there are tokens. */
  long waitedMs() {
    return spans.tokens() > 0
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - assignedNanos);
  }

  void cancel() {
    generation.cancel();
  }

  /** Continues on another endpoint; returns the number of tokens to prefill there again. */
  int moveTo(String endpoint) {
    assignedNanos = System.nanoTime();
    generation.moveTo(endpoint);
    return spans.tokens();
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    long nowNanos = System.nanoTime();
    if (lastTokensNanos != 0) {
      double latestTimePerTokenMs = (nowNanos - lastTokensNanos) / NANOS_PER_MS / tokens;
      timePerTokenMs =
          timePerTokenMs == 0
              ? latestTimePerTokenMs
              : timePerTokenMs + TIME_SMOOTHING_FACTOR * (latestTimePerTokenMs - timePerTokenMs);
    }
    lastTokensNanos = nowNanos;
    lastVersion = version;
    text.append(newText);
    spans.append(version, tokens);
  }

  @Override
  public void onFinished(String finishReason) {
    if (spans.tokens() == 0) {
      step.onSlotFailed(
          this,
          GenerationFailure.notRun(
              org.sycamoretrack.core.process.ErrorCode.ENDPOINT_FAILED,
              "the endpoint returned an empty sample"));
      return;
    }
    step.onSlotFinished(
        this,
        new Sample(
            slot, text.toString(), spans.tokens(), finishReason, attempt, null, spans.toList()));
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    step.onSlotFailed(this, failure);
  }

  /**
   * Returns the progress for the straggler policy. The time since the last tokens is a lower bound
   * of the time per token, so that a stalled endpoint counts as slow.
   */
  StragglerPolicy.RunningSample progress(int maxTokens) {
    double idleMs = lastTokensNanos == 0 ? 0 : (System.nanoTime() - lastTokensNanos) / NANOS_PER_MS;
    return new StragglerPolicy.RunningSample(
        slot,
        generation.endpoint(),
        spans.tokens(),
        maxTokens,
        lastVersion,
        Math.max(timePerTokenMs, idleMs));
  }
}
