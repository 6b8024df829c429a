package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The metrics of a node whose deployment orders capacity. Thread-safe. */
public final class CapacityMetrics {
  private final Counter orders;

  /**
   * Registers the metrics.
   *
   * @param registry the metrics of the node
   * @param targets returns the number of endpoints for each list of service, zone and kind
   */
  CapacityMetrics(MetricsRegistry registry, Supplier<Map<List<String>, Double>> targets) {
    orders = registry.counter("capacity_orders_total", "Orders of endpoints by outcome", "outcome");
    registry.gauge(
        "capacity_target",
        "Endpoints that a service should have, at the node that orders them",
        List.of("service", "zone", "kind"),
        targets);
  }

  /**
   * Records the outcome of an order of endpoints.
   *
   * @param outcome the outcome, one of a fixed set of strings
   */
  public void onOrder(String outcome) {
    orders.labelValues(outcome).inc();
  }
}
