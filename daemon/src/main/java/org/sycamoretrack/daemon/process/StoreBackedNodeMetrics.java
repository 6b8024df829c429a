package org.sycamoretrack.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * The metrics of a node that keeps its state in the platform's store. Names start with {@code
 * sycamoretrack_} and end with their unit. Label values come from enums and fixed strings, which
 * bounds the number of time series. The operations guide lists each metric. Thread-safe.
 */
public final class StoreBackedNodeMetrics {
  /** The reason why a node started or stopped owning a batch. */
  public enum OwnerChange {
    /** The batch was submitted to this node. */
    ACCEPTED,
    /** Its previous owner is gone. */
    TAKEN_OVER,
    /** All its results have been listed. */
    COMPLETE,
    /** Its submitter cancelled it. */
    ENDED,
    /** Another node has taken it over. */
    LOST,
    /** The node is stopping and leaves it to other nodes. */
    HANDED_OVER;

    private boolean isGain() {
      return this == ACCEPTED || this == TAKEN_OVER;
    }
  }

  /**
   * Bucket bounds from the response time of the store to the run time of the longest item, each
   * some 2.5 times the previous one.
   */
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10
  };

  private final MetricsRegistry registry = new MetricsRegistry();
  private final Counter requests =
      registry.counter(
          "requests_total", "Calls of callers by kind of route and outcome", "kind", "outcome");
  private final Histogram requestTime =
      registry.histogram(
          "request_time_seconds",
          "Time from the arrival of a call to its outcome",
          BUCKET_BOUNDS_SECONDS,
          "kind");
  private final Counter refusals =
      registry.counter(
          "refusals_total", "Calls answered with an error that the node itself raised", "code");
  private final Counter unauthorized =
      registry.counter(
          "requests_unauthorized_total", "Calls refused because they carry no key of a customer");
  private final Counter attempts =
      registry.counter("attempts_total", "Plain requests sent to endpoints by outcome", "outcome");
  private final Histogram attemptTime =
      registry.histogram(
          "attempt_time_seconds",
          "Time from sending a request to an endpoint to the outcome",
          BUCKET_BOUNDS_SECONDS);
  private final Counter itemRuns =
      registry.counter("item_runs_total", "Runs of items at endpoints by outcome", "outcome");
  private final Histogram itemRunTime =
      registry.histogram(
          "item_run_time_seconds",
          "Time from the start of a run of an item to its end",
          BUCKET_BOUNDS_SECONDS);
  private final Counter scoreCalls =
      registry.counter("score_calls_total", "Calls to scoring services by outcome", "outcome");
  private final Histogram scoreCallTime =
      registry.histogram(
          "score_call_time_seconds",
          "Time from sending a scoring call to its outcome",
          BUCKET_BOUNDS_SECONDS);
  private final Histogram scoreWaitTime =
      registry.histogram(
          "score_wait_time_seconds",
          "Time from the end of a text to its score",
          BUCKET_BOUNDS_SECONDS);
  private final Counter results =
      registry.counter("results_listed_total", "Results of items listed");
  private final Counter loadCommands =
      registry.counter("orders_total", "Commands to load weights by outcome", "outcome");
  private final Counter ownerChanges =
      registry.counter(
          "batch_owner_changes_total",
          "Batches that this node started or stopped owning, by reason",
          "change");
  private final Counter storeCalls =
      registry.counter("store_calls_total", "Store calls by outcome", "call", "outcome");
  private final Histogram storeCallTime =
      registry.histogram(
          "store_call_time_seconds",
          "Time from sending a store call to its end",
          BUCKET_BOUNDS_SECONDS,
          "call");
  private final Counter endpointsLeaving =
      registry.counter(
          "endpoints_leaving_total",
          "Endpoints that said that they are leaving, by how this node learnt of it",
          "source");
  private final Counter strayResponses =
      registry.counter(
          "stray_responses_total",
          "Responses of endpoints that aren't the response to the current request",
          "kind");
  private final Counter zoneBytes =
      registry.counter(
          "zone_bytes_total",
          "Bytes of requests to endpoints of other zones and of their responses",
          "direction");
  private final Gauge zoneOverflowShare =
      registry.labelledGauge(
          "zone_overflow_share", "Share of the recent work that was sent to another zone", "zone");
  private final AtomicInteger openBatches = new AtomicInteger();

  /** Creates metrics with all counters at zero. */
  public StoreBackedNodeMetrics() {
    gauge("open_batches", "Batches that this node runs", openBatches::get);
    gauge("log_lines", "Log lines accepted since the start", JsonLog::acceptedLines);
    gauge(
        "log_lines_dropped",
        "Log lines dropped because the output was not read in time",
        JsonLog::droppedLines);
  }

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

  /**
   * Adds the metrics of capacity, which nodes of other deployments don't have.
   *
   * @param targets returns the ordered number of endpoints for each list of service, zone and kind;
   *     called from any thread
   */
  public CapacityMetrics addCapacity(Supplier<Map<List<String>, Double>> targets) {
    return new CapacityMetrics(registry, targets);
  }

  /**
   * Adds the metrics of duties at the control service, which other nodes don't have.
   *
   * @param held whether this node holds the lease of a duty, 1 or 0, by the id of the duty
   * @param usageLagMs the age of the oldest window that was not reported, in milliseconds
   */
  public DutyMetrics addDuties(Map<String, DoubleSupplier> held, DoubleSupplier usageLagMs) {
    return new DutyMetrics(registry, held, usageLagMs);
  }

  /** Returns the names of all metrics, including those without any data. */
  public Set<String> names() {
    return registry.names();
  }

  /**
   * Records that this node has learnt that an endpoint said that it is leaving.
   *
   * @param source {@code response} or {@code peer}
   */
  public void onLeaving(String source) {
    endpointsLeaving.labelValues(source).inc();
  }

  /** Records response data that isn't the response to the current request. */
  public void onStrayResponse(Enum<?> kind) {
    strayResponses.labelValues(MetricsRegistry.label(kind)).inc();
  }

  /**
   * Records the outcome of a call.
   *
   * @param kind the kind of its route
   * @param outcome the outcome, one of a fixed set of strings
   * @param elapsedMs the time since the call arrived, in milliseconds
   */
  public void onRequest(Enum<?> kind, String outcome, long elapsedMs) {
    requests.labelValues(MetricsRegistry.label(kind), outcome).inc();
    requestTime
        .labelValues(MetricsRegistry.label(kind))
        .observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Records an error response to a call that the node itself raised. */
  public void onRefused(Enum<?> code) {
    refusals.labelValues(MetricsRegistry.label(code)).inc();
  }

  /** Records a call that was refused because it carries no key of a customer. */
  public void onUnauthorized() {
    unauthorized.inc();
  }

  /**
   * Records the outcome of a plain request at one endpoint.
   *
   * @param outcome the outcome, one of a fixed set of strings
   * @param elapsedMs the time since the request was sent, in milliseconds
   */
  public void onAttempt(String outcome, long elapsedMs) {
    attempts.labelValues(outcome).inc();
    attemptTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /**
   * Records the end of a run of an item.
   *
   * @param end how the run ended
   * @param elapsedMs the time since the run was started, in milliseconds
   */
  public void onItemRun(Enum<?> end, long elapsedMs) {
    itemRuns.labelValues(MetricsRegistry.label(end)).inc();
    itemRunTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /**
   * Records the outcome of a call to a scoring service.
   *
   * @param outcome the outcome, one of a fixed set of strings
   * @param elapsedMs the time since the call was sent, in milliseconds
   */
  public void onScoreCall(String outcome, long elapsedMs) {
    scoreCalls.labelValues(outcome).inc();
    scoreCallTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /**
   * Records that a text was scored.
   *
   * @param elapsedMs the time since the text was complete, in milliseconds
   */
  public void onScored(long elapsedMs) {
    scoreWaitTime.observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /** Records listed results. */
  public void onResultsListed(int count) {
    results.inc(count);
  }

  /**
   * Records a command to load weights.
   *
   * @param outcome the outcome, one of a fixed set of strings
   */
  public void onLoadCommand(String outcome) {
    loadCommands.labelValues(outcome).inc();
  }

  /** Records that this node started or stopped owning a batch. */
  public void onOwnerChange(OwnerChange change) {
    ownerChanges.labelValues(MetricsRegistry.label(change)).inc();
    openBatches.addAndGet(change.isGain() ? 1 : -1);
  }

  /**
   * Records the end of a store call.
   *
   * @param call the kind of call
   * @param outcome the outcome, one of a fixed set of strings
   * @param elapsedMs the time since the call was sent, in milliseconds
   */
  public void onStoreCall(String call, String outcome, long elapsedMs) {
    storeCalls.labelValues(call, outcome).inc();
    storeCallTime.labelValues(call).observe(elapsedMs / MetricsRegistry.MS_PER_SECOND);
  }

  /**
   * Records data exchanged with an endpoint of another availability zone.
   *
   * @param direction {@code sent} or {@code received}
   * @param bytes the number of bytes
   */
  public void onZoneBytes(String direction, long bytes) {
    zoneBytes.labelValues(direction).inc(bytes);
  }

  /**
   * Sets the share of the recent work that was sent to another availability zone.
   *
   * @param zone the other zone; zones are few
   * @param share the share, from 0 to 1
   */
  public void setZoneOverflowShare(String zone, double share) {
    zoneOverflowShare.labelValues(zone).set(share);
  }

  /** Returns all metrics in Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
