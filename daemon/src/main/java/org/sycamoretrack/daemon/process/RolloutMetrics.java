package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;

/**
 * The metrics of a node on a platform. Names start with {@code sycamoretrack_} and end with their
 * unit; label values come from enums and fixed texts, so that their number is bounded. The
 * operators' page lists each. Thread-safe.
 */
public final class RolloutMetrics {
  /** How a node came to run a batch, or ceased to. */
  public enum OwnerChange {
    /** The batch was submitted here. */
    ACCEPTED,
    /** Its owner before is gone. */
    TAKEN_OVER,
    /** All of its results are listed. */
    COMPLETE,
    /** Its submitter ended it. */
    ENDED,
    /** Another node has taken it. */
    LOST,
    /** The node stops, and leaves it to others. */
    HANDED_OVER;

    private boolean isGain() {
      return this == ACCEPTED || this == TAKEN_OVER;
    }
  }

  /** From an answer of the store to the longest item, each step some 2.5 times the one before. */
  private static final double[] SECONDS = {0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

  private final MetricsRegistry registry = new MetricsRegistry();
  private final Counter requests =
      registry.counter(
          "requests_total", "Calls of callers by kind of route and outcome", "kind", "outcome");
  private final Histogram requestTime =
      registry.histogram(
          "request_time_seconds", "From a call's arrival to its outcome", SECONDS, "kind");
  private final Counter refusals =
      registry.counter("refusals_total", "Calls answered with an error of the node's own", "code");
  private final Counter attempts =
      registry.counter("attempts_total", "Plain requests sent to endpoints by outcome", "outcome");
  private final Histogram attemptTime =
      registry.histogram(
          "attempt_time_seconds", "From sending to an endpoint to the outcome", SECONDS);
  private final Counter itemRuns =
      registry.counter(
          "item_runs_total", "Runs of items at endpoints by how they ended", "outcome");
  private final Histogram itemRunTime =
      registry.histogram(
          "item_run_time_seconds", "From the start of a run of an item to its end", SECONDS);
  private final Counter results =
      registry.counter("results_listed_total", "Results of items listed");
  private final Counter orders =
      registry.counter("orders_total", "Orders to load weights by outcome", "outcome");
  private final Counter ownerChanges =
      registry.counter(
          "batch_owner_changes_total", "Batches that came to this node or left it", "change");
  private final Counter storeCalls =
      registry.counter("store_calls_total", "Calls of the store by outcome", "call", "outcome");
  private final Histogram storeCallTime =
      registry.histogram(
          "store_call_time_seconds",
          "From sending a call of the store to its end",
          SECONDS,
          "call");
  private final AtomicInteger openBatches = new AtomicInteger();

  /** Creates metrics that count from zero. */
  public RolloutMetrics() {
    gauge("open_batches", "Batches that this node runs", openBatches::get);
    gauge("log_lines", "Lines logged since the start", JsonLog::acceptedLines);
    gauge("log_lines_dropped", "Lines lost since nobody read them", JsonLog::droppedLines);
  }

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

  /** Returns the names of all metrics, also of those that nothing was counted for yet. */
  public Set<String> names() {
    return registry.names();
  }

  /**
   * Notes the outcome of a call.
   *
   * @param kind the kind of its route
   * @param outcome one of a few words
   * @param elapsedMs since it arrived, in milliseconds
   */
  public void onRequest(Enum<?> kind, String outcome, long elapsedMs) {
    requests.labelValues(MetricsRegistry.label(kind), outcome).inc();
    requestTime
        .labelValues(MetricsRegistry.label(kind))
        .observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Notes that a call was answered with an error of the node's own. */
  public void onRefused(Enum<?> code) {
    refusals.labelValues(MetricsRegistry.label(code)).inc();
  }

  /**
   * Notes the outcome of a plain request at one endpoint.
   *
   * @param outcome one of a few words
   * @param elapsedMs since it was sent, in milliseconds
   */
  public void onAttempt(String outcome, long elapsedMs) {
    attempts.labelValues(outcome).inc();
    attemptTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /**
   * Notes the end of a run of an item.
   *
   * @param end how it ended
   * @param elapsedMs since it was started, in milliseconds
   */
  public void onItemRun(Enum<?> end, long elapsedMs) {
    itemRuns.labelValues(MetricsRegistry.label(end)).inc();
    itemRunTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Notes listed results. */
  public void onResultsListed(int count) {
    results.inc(count);
  }

  /**
   * Notes an order to load weights.
   *
   * @param outcome one of a few words
   */
  public void onOrder(String outcome) {
    orders.labelValues(outcome).inc();
  }

  /** Notes that a batch came to this node, or left it. */
  public void onOwnerChange(OwnerChange change) {
    ownerChanges.labelValues(MetricsRegistry.label(change)).inc();
    openBatches.addAndGet(change.isGain() ? 1 : -1);
  }

  /**
   * Notes the end of a call of the store.
   *
   * @param call the kind of call
   * @param outcome one of a few words
   * @param elapsedMs since it was sent, in milliseconds
   */
  public void onStoreCall(String call, String outcome, long elapsedMs) {
    storeCalls.labelValues(call, outcome).inc();
    storeCallTime.labelValues(call).observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Returns all metrics in Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
