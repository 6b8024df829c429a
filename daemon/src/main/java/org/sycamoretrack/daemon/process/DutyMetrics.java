package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** The metrics of a node whose deployment has a control service. Thread-safe. */
public final class DutyMetrics {
  private final Counter calls;
  private final Counter windowsReported;

  /**
   * Registers the metrics.
   *
   * @param registry the metrics of the node
   * @param held whether this node holds the lease of a duty, 1 or 0, by the id of the duty
   * @param usageLagMs the age of the oldest window that was not reported, in milliseconds
   */
  DutyMetrics(
      MetricsRegistry registry, Map<String, DoubleSupplier> held, DoubleSupplier usageLagMs) {
    calls =
        registry.counter(
            "duty_calls_total", "Calls to the control service by outcome", "duty", "outcome");
    windowsReported =
        registry.counter("usage_windows_reported_total", "Windows whose usage report was accepted");
    registry.gauge(
        "usage_report_lag_seconds",
        "Time since the end of the oldest window that was not reported, 0 at other nodes than the"
            + " holder",
        () -> usageLagMs.getAsDouble() / MetricsRegistry.MS_PER_SECOND);
    registry.gauge(
        "duty_held", "1 if this node holds the lease of the duty, otherwise 0", "duty", held);
  }

  /**
   * Records a call to the control service.
   *
   * @param duty the id of the duty
   * @param outcome the outcome, one of a fixed set of strings
   */
  public void onCall(String duty, String outcome) {
    calls.labelValues(duty, outcome).inc();
  }

  /** Records that the report of a window was accepted. */
  public void onUsageReported() {
    windowsReported.inc();
  }
}
