package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/** Registers the metrics of a process with a common prefix and exports them. Thread-safe. */
final class MetricsRegistry {
  /** Converts milliseconds to the seconds of a histogram. */
  static final double MS_PER_SECOND = 1_000.0;

  private static final String PREFIX = "sycamoretrack_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Set<String> names = ConcurrentHashMap.newKeySet();

  /** Adds a histogram with the given upper bucket bounds. */
  Histogram histogram(String name, String help, double[] bounds, String... labels) {
    return Histogram.builder()
        .name(prefixed(name))
        .help(help)
        .labelNames(labels)
        .classicUpperBounds(bounds)
        .classicOnly()
        .register(registry);
  }

  Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(prefixed(name)).help(help).labelNames(labels).register(registry);
  }

  /** Adds a gauge with labels, whose values are set. */
  Gauge labelledGauge(String name, String help, String... labels) {
    return Gauge.builder().name(prefixed(name)).help(help).labelNames(labels).register(registry);
  }

  /** Adds a gauge whose value is read at each scrape, from any thread. */
  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(prefixed(name))
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  private String prefixed(String name) {
    names.add(PREFIX + name);
    return PREFIX + name;
  }

  /** Returns the names of all metrics, including those without any data. */
  Set<String> names() {
    return Set.copyOf(names);
  }

  /** Returns the label value of an enum constant. */
  static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  /** Returns all metrics in Prometheus text format. */
  String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
