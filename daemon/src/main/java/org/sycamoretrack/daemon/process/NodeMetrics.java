package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.function.DoubleSupplier;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RequestClass;

/**
 * The metrics of a node. Names start with {@code sycamoretrack_} and end with their unit. Label
 * values come from fixed sets, which bounds the number of time series. Thread-safe.
 */
public final class NodeMetrics {
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300
  };
  private static final double[] BUCKET_BOUNDS_VERSIONS = {0, 1, 2, 3, 4, 5, 10};

  private final MetricsRegistry registry = new MetricsRegistry();
  private final Histogram queueTime =
      registry.histogram(
          "queue_time_seconds",
          "Time that a request waits for an engine",
          BUCKET_BOUNDS_SECONDS,
          "class");
  private final Histogram requestTime =
      registry.histogram(
          "request_time_seconds",
          "Time from the arrival of a call to its end",
          BUCKET_BOUNDS_SECONDS,
          "api");
  private final Counter attempts =
      registry.counter("attempts_total", "Attempts sent to engines", "class");
  private final Counter failedAttempts =
      registry.counter("failed_attempts_total", "Failed attempts by execution outcome", "outcome");
  private final Counter refusals =
      registry.counter(
          "refusals_total", "Calls answered with an error, by execution outcome", "outcome");
  private final Counter tokens = registry.counter("tokens_total", "Tokens generated", "class");
  private final Counter samples = registry.counter("samples_total", "Samples by fate", "fate");
  private final Histogram staleness =
      registry.histogram(
          "sample_staleness_versions",
          "Versions by which the oldest part of a delivered sample lags behind its trainer",
          BUCKET_BOUNDS_VERSIONS);
  private final Histogram pollWait =
      registry.histogram(
          "poll_wait_seconds",
          "Time that a trainer's poll waits for samples",
          BUCKET_BOUNDS_SECONDS);

  /** Creates metrics with all counters at zero. */
  public NodeMetrics() {}

  /**
   * Adds a gauge.
   *
   * @param name the name without prefix, ending with its unit
   * @param help the help text, one line
   * @param value read at each scrape, from any thread
   */
  public void gauge(String name, String help, DoubleSupplier value) {
    registry.gauge(name, help, value);
  }

  /** Records that an attempt was sent to an engine after waiting in the queue. */
  public void onAttempt(RequestClass requestClass, long waitedMs) {
    String label = MetricsRegistry.label(requestClass);
    attempts.labelValues(label).inc();
    queueTime.labelValues(label).observe(waitedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Records that an attempt failed. */
  public void onAttemptFailed(ExecutionOutcome outcome) {
    failedAttempts.labelValues(outcome.wireName()).inc();
  }

  /** Records generated tokens. */
  public void onTokens(RequestClass requestClass, int count) {
    tokens.labelValues(MetricsRegistry.label(requestClass)).inc(count);
  }

  /** Records a successful response to a call. */
  public void onSucceeded(String api, long elapsedMs) {
    requestTime.labelValues(api).observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Records an error response to a call. */
  public void onRefused(ExecutionOutcome outcome) {
    refusals.labelValues(outcome.wireName()).inc();
  }

  /** Records that a sample was included in the response to a poll. */
  public void onSampleOffered(long versionsOld) {
    samples.labelValues("offered").inc();
    staleness.observe((double) versionsOld);
  }

  /** Records that a sample finished for the first time. */
  public void onSampleFinished() {
    samples.labelValues("finished").inc();
  }

  /** Records that a finished sample was too old for its trainer. */
  public void onSampleTooOld() {
    samples.labelValues("too-old").inc();
  }

  /** Records how long a poll waited. */
  public void onPollResponse(long waitedMs) {
    pollWait.observe(waitedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Returns all metrics in Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
