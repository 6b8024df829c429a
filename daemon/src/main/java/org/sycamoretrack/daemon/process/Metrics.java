package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.sycamoretrack.core.request.Outcome;
import org.sycamoretrack.core.request.RequestClass;

/**
 * The node's metrics. Names start with {@code sycamoretrack_} and end with their unit; label values
 * come from fixed sets, so that their number is bounded. Thread-safe.
 */
public final class Metrics {
  private static final String PREFIX = "sycamoretrack_";
  private static final double MS_PER_SECOND = 1_000.0;
  private static final double[] SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300
  };
  private static final double[] VERSIONS = {0, 1, 2, 3, 4, 5, 10};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram queueTime =
      histogram("queue_time_seconds", "Wait for an engine", "class");
  private final Histogram requestTime =
      histogram("request_time_seconds", "From a call's arrival to its end", "api");
  private final Counter attempts = counter("attempts_total", "Attempts sent to engines", "class");
  private final Counter failedAttempts =
      counter("failed_attempts_total", "Attempts that failed, by what is known of them", "outcome");
  private final Counter refusals =
      counter("refusals_total", "Calls answered with an error, by what is known", "outcome");
  private final Counter tokens = counter("tokens_total", "Tokens generated", "class");
  private final Counter samples =
      counter("samples_total", "Samples by what became of them", "fate");
  private final Histogram staleness =
      Histogram.builder()
          .name(PREFIX + "sample_staleness_versions")
          .help("Versions between the trainer's and the oldest of a delivered sample")
          .classicUpperBounds(VERSIONS)
          .classicOnly()
          .register(registry);
  private final Histogram pollWait =
      histogram("poll_wait_seconds", "Time that a trainer's poll waits for samples");

  /** Creates metrics that count from zero. */
  public Metrics() {}

  private Histogram histogram(String name, String help, String... labels) {
    return Histogram.builder()
        .name(PREFIX + name)
        .help(help)
        .labelNames(labels)
        .classicUpperBounds(SECONDS)
        .classicOnly()
        .register(registry);
  }

  private Counter counter(String name, String help, String label) {
    return Counter.builder().name(PREFIX + name).help(help).labelNames(label).register(registry);
  }

  /**
   * Adds a gauge.
   *
   * @param name the name without prefix, ending with its unit
   * @param help one line
   * @param value read at each scrape, from any thread
   */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Notes that an attempt was sent to an engine after a wait in its queue. */
  public void onAttempt(RequestClass requestClass, long waitedMs) {
    String label = label(requestClass);
    attempts.labelValues(label).inc();
    queueTime.labelValues(label).observe(waitedMs / MS_PER_SECOND);
  }

  /** Notes that an attempt failed. */
  public void onAttemptFailed(Outcome outcome) {
    failedAttempts.labelValues(outcome.wireName()).inc();
  }

  /** Notes generated tokens. */
  public void onTokens(RequestClass requestClass, int count) {
    tokens.labelValues(label(requestClass)).inc(count);
  }

  /** Notes that a call was answered well. */
  public void onAnswered(String api, long elapsedMs) {
    requestTime.labelValues(api).observe(elapsedMs / MS_PER_SECOND);
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
    pollWait.observe(waitedMs / MS_PER_SECOND);
  }

  private static String label(RequestClass requestClass) {
    return requestClass.name().toLowerCase(Locale.ROOT);
  }

  /** Returns all metrics in Prometheus text format. */
  public String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(java.nio.charset.StandardCharsets.UTF_8);
  }
}
