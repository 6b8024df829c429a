package org.sycamoretrack.daemon.request;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.HostList;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * The state of endpoints as reported by the endpoints and by the platform: whether they are
 * leaving, and which weight version they serve.
 *
 * <p>The node that owns an engine polls its load report; every node reads the host list. An
 * endpoint is leaving when either source says so. An engine is considered unreachable after {@value
 * #UNREACHABLE_AFTER} consecutive calls without a response. Thread-safe.
 */
public final class EndpointHealth {
  private static final System.Logger LOG = System.getLogger(EndpointHealth.class.getName());
  private static final int UNREACHABLE_AFTER = 3;

  private final EngineClient engines;
  private final Map<String, Report> reports = new ConcurrentHashMap<>();
  private volatile Set<String> leavingHosts = Set.of();
  private volatile long hostsAsOfNanos;

  /**
   * Creates an instance without reports.
   *
   * @param engines the client that polls the engines
   */
  public EndpointHealth(EngineClient engines) {
    this.engines = engines;
  }

  /**
   * The latest report of an engine.
   *
   * @param leaving whether the engine is about to shut down
   * @param servedVersion the weight version that the engine serves
   * @param failures the number of consecutive calls without a response
   */
  record Report(boolean leaving, long servedVersion, int failures) {
    static final Report NONE = new Report(false, 0, 0);

    boolean isReachable() {
      return failures < UNREACHABLE_AFTER;
    }
  }

  /**
   * Polls the load reports of engines.
   *
   * @param targets the engines that this node owns
   */
  public void poll(Collection<EndpointTarget> targets) {
    for (EndpointTarget target : targets) {
      engines
          .loadReport(target.address())
          .whenComplete((load, failure) -> updateReport(target, load, failure));
    }
  }

  private void updateReport(
      EndpointTarget target, EngineClient.EngineLoadReport load, Throwable failure) {
    Report before = report(target.name());
    if (failure != null) {
      Report after = new Report(before.leaving(), before.servedVersion(), before.failures() + 1);
      reports.put(target.name(), after);
      logChange(target, before, after);
      return;
    }
    Report after = new Report(load.leaving(), load.weightVersion(), 0);
    reports.put(target.name(), after);
    logChange(target, before, after);
  }

  private static void logChange(EndpointTarget target, Report before, Report after) {
    if (before.leaving() != after.leaving() || before.isReachable() != after.isReachable()) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("endpoint-health")
              .with("endpoint", target.name())
              .with("leaving", after.leaving())
              .with("reachable", after.isReachable()));
    }
  }

  /** Returns the latest report of an engine. */
  Report report(String endpoint) {
    return reports.getOrDefault(endpoint, Report.NONE);
  }

  /**
   * Applies a new host list.
   *
   * @param snapshot the list
   */
  public void onHostList(HostList.Snapshot snapshot) {
    hostsAsOfNanos = System.nanoTime();
    leavingHosts =
        snapshot.hosts().stream()
            .filter(host -> host.state() == HostList.State.LEAVING)
            .map(host -> host.address() + ':' + host.port())
            .collect(java.util.stream.Collectors.toUnmodifiableSet());
  }

  /** Returns whether the host list says that an endpoint is leaving. */
  boolean isLeavingHost(EndpointTarget target) {
    return leavingHosts.contains(
        target.address().getAddress().getHostAddress() + ':' + target.address().getPort());
  }

  /** Returns the age of the host list in milliseconds, for the state dump. */
  public long hostListAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - hostsAsOfNanos);
  }
}
