package org.sycamoretrack.daemon.request;

import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StragglerPolicy;
import org.sycamoretrack.core.request.VersionSpans;

/** A slot of a step that is being generated. Confined to the event loop of its step. */
final class SlotRun implements GenerationListener {
  private static final double SPEED_SMOOTHING_FACTOR = 0.2;
  private static final double NANOS_PER_MS = 1_000_000.0;

  private final StepRunner step;
  private final int slot;
  private final int attempt;
  private final StringBuilder text = new StringBuilder();
  private final VersionSpans spans = new VersionSpans();
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

  /** Returns the endpoint of the newest attempt, empty when it is not known. */
  String endpoint() {
    return generation.endpoint();
  }

  /** Returns how long the newest endpoint has made nothing of a sample that has no token yet. */
  long waitedMs() {
    return spans.tokens() > 0
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - assignedNanos);
  }

  void cancel() {
    generation.cancel();
  }

  /** Continues at another endpoint; returns the tokens that are read again there. */
  int moveTo(String endpoint) {
    assignedNanos = System.nanoTime();
    generation.moveTo(endpoint);
    return spans.tokens();
  }

  @Override
  public void onTokens(String newText, int tokens, long version) {
    long nowNanos = System.nanoTime();
    if (lastTokensNanos != 0) {
      double elapsedMs = (nowNanos - lastTokensNanos) / NANOS_PER_MS / tokens;
      timePerTokenMs =
          timePerTokenMs == 0
              ? elapsedMs
              : timePerTokenMs + SPEED_SMOOTHING_FACTOR * (elapsedMs - timePerTokenMs);
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
              org.sycamoretrack.core.process.ErrorCode.ENDPOINT_FAILED, "an empty sample"));
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

  /** Returns the slot's progress for the straggler policy; a silence counts as slowness. */
  StragglerPolicy.RunningSample progress(int maxTokens) {
    double silentMs =
        lastTokensNanos == 0 ? 0 : (System.nanoTime() - lastTokensNanos) / NANOS_PER_MS;
    return new StragglerPolicy.RunningSample(
        slot,
        generation.endpoint(),
        spans.tokens(),
        maxTokens,
        lastVersion,
        Math.max(timePerTokenMs, silentMs));
  }
}
