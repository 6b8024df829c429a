package org.sycamoretrack.core.request;

import java.util.List;
import java.util.Objects;

/**
 * A sample whose generation has finished.
 *
 * @param slot the index of the sample in its step
 * @param text the generated text
 * @param tokens the number of generated tokens
 * @param finishReason why generation ended, {@code stop} or {@code length}
 * @param attempt the attempt that generated the sample, counted from 1
 * @param score the score given by the scorer, null when the track has no scorer
 * @param spans the weight versions that generated the text; they cover every token
 */
public record Sample(
    int slot,
    String text,
    int tokens,
    String finishReason,
    int attempt,
    Double score,
    List<VersionSpan> spans) {
  /** Checks that the spans cover every token without gap or overlap. */
  public Sample {
    Objects.requireNonNull(text, "text");
    spans = List.copyOf(spans);
    int nextToken = 0;
    for (VersionSpan span : spans) {
      if (span.fromToken() != nextToken) {
        throw new IllegalArgumentException("spans have a gap or overlap at token " + nextToken);
      }
      nextToken = span.toToken();
    }
    if (nextToken != tokens) {
      throw new IllegalArgumentException("spans cover " + nextToken + " of " + tokens + " tokens");
    }
  }

  /** Returns the oldest weight version that generated a part of the sample. */
  public long oldestVersion() {
    return VersionSpanCollector.oldest(spans);
  }

  /**
   * Returns a copy of the sample with the given score.
   *
   * @param newScore the score
   */
  public Sample withScore(double newScore) {
    return new Sample(slot, text, tokens, finishReason, attempt, newScore, spans);
  }
}
