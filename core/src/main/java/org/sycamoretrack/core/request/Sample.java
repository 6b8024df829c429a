package org.sycamoretrack.core.request;

import java.util.List;
import java.util.Objects;

/**
 * A finished sample.
 *
 * @param slot the slot in its step
 * @param text the generated text
 * @param tokens the number of generated tokens
 * @param finishReason why generation ended, {@code stop} or {@code length}
 * @param attempt the attempt that made it, counted from 1
 * @param score the scorer's verdict, null where the track names no scorer
 * @param spans the weight versions that made it, covering every token
 */
public record Sample(
    int slot,
    String text,
    int tokens,
    String finishReason,
    int attempt,
    Double score,
    List<VersionSpan> spans) {
  /** Checks that the spans cover every token. */
  public Sample {
    Objects.requireNonNull(text, "text");
    spans = List.copyOf(spans);
    int covered = 0;
    for (VersionSpan span : spans) {
      if (span.fromToken() != covered) {
        throw new IllegalArgumentException("spans leave a gap at token " + covered);
      }
      covered = span.toToken();
    }
    if (covered != tokens) {
      throw new IllegalArgumentException("spans cover " + covered + " of " + tokens + " tokens");
    }
  }

  /** Returns the oldest weight version that made a part of the sample. */
  public long oldestVersion() {
    return VersionSpans.oldest(spans);
  }

  /**
   * Returns the sample with a score.
   *
   * @param newScore the score
   */
  public Sample withScore(double newScore) {
    return new Sample(slot, text, tokens, finishReason, attempt, newScore, spans);
  }
}
