package org.sycamoretrack.daemon.request;

import java.util.concurrent.TimeUnit;
import org.sycamoretrack.daemon.process.Metrics;

/** Passes a generation on and notes its end in the metrics. */
final class MeasuredGeneration implements GenerationListener {
  private final GenerationListener next;
  private final Metrics metrics;
  private final String api;
  private final long startNanos = System.nanoTime();

  MeasuredGeneration(GenerationListener next, Metrics metrics, String api) {
    this.next = next;
    this.metrics = metrics;
    this.api = api;
  }

  @Override
  public void onTokens(String text, int tokens, long version) {
    next.onTokens(text, tokens, version);
  }

  @Override
  public void onFinished(String finishReason) {
    metrics.onAnswered(api, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    next.onFinished(finishReason);
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    metrics.onRefused(failure.outcome());
    next.onFailed(failure);
  }
}
