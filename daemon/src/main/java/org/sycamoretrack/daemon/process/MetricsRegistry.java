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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Registers the metrics of a process with a common prefix and exports them. Thread-safe. */
final class MetricsRegistry {
  /** Converts milliseconds to the seconds of a histogram. */
  static final double MS_PER_SECOND = 1_000.0;

  private static final String PREFIX = "sycamoretrack_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Set<String> names = ConcurrentHashMap.newKeySet();

  // No metric has exemplars: sampling them takes a timer of its own.

  /** Adds a histogram with the given upper bucket bounds. */
  Histogram histogram(String name, String help, double[] bounds, String... labels) {
    return Histogram.builder()
        .name(prefixed(name))
        .help(help)
        .labelNames(labels)
        .classicUpperBounds(bounds)
        .classicOnly()
        .withoutExemplars()
        .register(registry);
  }

  Counter counter(String name, String help, String... labels) {
    return Counter.builder()
        .name(prefixed(name))
        .help(help)
        .labelNames(labels)
        .withoutExemplars()
        .register(registry);
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

  /** Adds a gauge with a label, whose values are read at each scrape, from any thread. */
  void gauge(String name, String help, String label, Map<String, DoubleSupplier> values) {
    Map<String, DoubleSupplier> suppliers = Map.copyOf(values);
    gauge(
        name,
        help,
        List.of(label),
        () -> {
          Map<List<String>, Double> current = new HashMap<>();
          suppliers.forEach((key, value) -> current.put(List.of(key), value.getAsDouble()));
          return current;
        });
  }

  /**
   * Adds a gauge with labels whose values are read at each scrape, from any thread.
   *
   * @param name the name without prefix, ending with its unit
   * @param help the help text, one line
   * @param labels the names of the labels
   * @param values returns the current value for each list of label values
   */
  void gauge(
      String name, String help, List<String> labels, Supplier<Map<List<String>, Double>> values) {
    GaugeWithCallback.builder()
        .name(prefixed(name))
        .help(help)
        .labelNames(labels.toArray(String[]::new))
        .callback(
            callback ->
                values
                    .get()
                    .forEach(
                        (labelValues, value) ->
                            callback.call(value, labelValues.toArray(String[]::new))))
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
