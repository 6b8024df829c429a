package org.sycamoretrack.daemon.request;

import java.util.concurrent.TimeUnit;
import org.sycamoretrack.daemon.process.NodeMetrics;

/** Forwards all calls to another listener and records the end of the generation in the metrics. */
final class MeteredGenerationListener implements GenerationListener {
  private final GenerationListener delegate;
  private final NodeMetrics metrics;
  private final String api;
  private final long startNanos = System.nanoTime();

  MeteredGenerationListener(GenerationListener delegate, NodeMetrics metrics, String api) {
    this.delegate = delegate;
    this.metrics = metrics;
    this.api = api;
  }

  @Override
  public void onTokens(String text, int tokens, long version) {
    delegate.onTokens(text, tokens, version);
  }

  @Override
  public void onFinished(String finishReason) {
    metrics.onSucceeded(api, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    delegate.onFinished(finishReason);
  }

  @Override
  public void onFailed(GenerationFailure failure) {
    metrics.onRefused(failure.outcome());
    delegate.onFailed(failure);
  }
}
