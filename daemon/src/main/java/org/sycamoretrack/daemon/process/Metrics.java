package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.function.DoubleSupplier;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.RequestClass;

/**
 * The node's metrics. Names start with {@code sycamoretrack_} and end with their unit; label values
 * come from fixed sets, so that their number is bounded. Thread-safe.
 */
public final class Metrics {
  private static final double[] SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300
  };
  private static final double[] VERSIONS = {0, 1, 2, 3, 4, 5, 10};

  private final MetricsRegistry registry = new MetricsRegistry();
  private final Histogram queueTime =
      registry.histogram("queue_time_seconds", "Wait for an engine", SECONDS, "class");
  private final Histogram requestTime =
      registry.histogram(
          "request_time_seconds", "From a call's arrival to its end", SECONDS, "api");
  private final Counter attempts =
      registry.counter("attempts_total", "Attempts sent to engines", "class");
  private final Counter failedAttempts =
      registry.counter(
          "failed_attempts_total", "Attempts that failed, by what is known of them", "outcome");
  private final Counter refusals =
      registry.counter(
          "refusals_total", "Calls answered with an error, by what is known", "outcome");
  private final Counter tokens = registry.counter("tokens_total", "Tokens generated", "class");
  private final Counter samples =
      registry.counter("samples_total", "Samples by what became of them", "fate");
  private final Histogram staleness =
      registry.histogram(
          "sample_staleness_versions",
          "Versions between the trainer's and the oldest of a delivered sample",
          VERSIONS);
  private final Histogram pollWait =
      registry.histogram(
          "poll_wait_seconds", "Time that a trainer's poll waits for samples", SECONDS);

  /** Creates metrics that count from zero. */
  public Metrics() {}

  /**
   * Adds a gauge.
   *
   * @param name the name without prefix, ending with its unit
   * @param help one line
   * @param value read at each scrape, from any thread
   */
  public void gauge(String name, String help, DoubleSupplier value) {
    registry.gauge(name, help, value);
  }

  /** Notes that an attempt was sent to an engine after a wait in its queue. */
  public void onAttempt(RequestClass requestClass, long waitedMs) {
    String label = MetricsRegistry.label(requestClass);
    attempts.labelValues(label).inc();
    queueTime.labelValues(label).observe(waitedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Notes that an attempt failed. */
  public void onAttemptFailed(Outcome outcome) {
    failedAttempts.labelValues(outcome.wireName()).inc();
  }

  /** Notes generated tokens. */
  public void onTokens(RequestClass requestClass, int count) {
    tokens.labelValues(MetricsRegistry.label(requestClass)).inc(count);
  }

  /** Notes that a call was answered well. */
  public void onAnswered(String api, long elapsedMs) {
    requestTime.labelValues(api).observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Notes that a call was answered with an error. */
  public void onRefused(Outcome outcome) {
    refusals.labelValues(outcome.wireName()).inc();
  }

  /** Notes that a sample was put into the answer to a poll. */
  public void onSampleOffered(long versionsOld) {
    samples.labelValues("offered").inc();
    staleness.observe((double) versionsOld);
  }

  /** Notes that a sample finished for the first time. */
  public void onSampleFinished() {
    samples.labelValues("finished").inc();
  }

  /** Notes that a finished sample was too old for its trainer. */
  public void onSampleTooOld() {
    samples.labelValues("too-old").inc();
  }

  /** Notes how long a poll waited. */
  public void onPollAnswered(long waitedMs) {
    pollWait.observe(waitedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Returns all metrics in Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
