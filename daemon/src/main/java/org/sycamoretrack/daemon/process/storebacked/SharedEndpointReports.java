package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.sycamoretrack.core.request.PoisonRequestDetector.CrashRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.PoisonMessage;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.CrashReport;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointReports;
import org.sycamoretrack.daemon.version.deployment.ControlTables.LeavingReport;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;

/**
 * Shares what this node has observed of endpoints with the other nodes, through a row of this node
 * in the store that all nodes watch: the crashes that it attributes to requests, and the endpoints
 * that told it that they are leaving.
 *
 * <p>The row holds the {@value #MAX_REPORTS} newest reports of each kind that still matter. It is
 * written when a report was added, and again after {@value #TIDY_INTERVAL_MS} ms without those that
 * no longer matter. A write that fails is repeated at the next tick. While the store is
 * unreachable, each node knows only what it has seen itself.
 *
 * <p>Confined to the control loop, except for {@link #onCrash} and {@link #onLeaving}.
 */
final class SharedEndpointReports {
  private static final int MAX_REPORTS = 64;

  /** A row is only rewritten to shrink it when that is worth a write. */
  private static final long TIDY_INTERVAL_MS = 30_000;

  private static final System.Logger LOG = System.getLogger(SharedEndpointReports.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final String nodeId;
  private final PoisonGuard poison;
  private final DeploymentWatch watch;
  private final StoreBackedNodeMetrics metrics;
  private final Deque<CrashReport> crashes = new ArrayDeque<>();
  private final Deque<LeavingReport> leaving = new ArrayDeque<>();
  private long tidyAtMs;
  private boolean changed;
  private boolean writing;

  SharedEndpointReports(
      PartitionedStore store,
      EventLoop loop,
      String nodeId,
      PoisonGuard poison,
      DeploymentWatch watch,
      StoreBackedNodeMetrics metrics) {
    this.store = store;
    this.loop = loop;
    this.nodeId = nodeId;
    this.poison = poison;
    this.watch = watch;
    this.metrics = metrics;
  }

  /** Called with each crash that this node attributes to a request, on any thread. */
  void onCrash(CrashRecord crash) {
    CrashReport report =
        new CrashReport(
            crash.fingerprint(), crash.endpoint(), crash.deathId(), System.currentTimeMillis());
    loop.execute(() -> add(crashes, report));
  }

  /** Called when an endpoint has said in a response that it is leaving, on any thread. */
  void onLeaving(Endpoint endpoint) {
    loop.execute(
        () -> {
          if (watch.onLeaving(endpoint.id(), endpoint.startedAtMs(), "response")) {
            metrics.onLeaving("response");
            add(leaving, new LeavingReport(endpoint.id(), endpoint.startedAtMs()));
          }
        });
  }

  private <T> void add(Deque<T> reports, T report) {
    reports.addLast(report);
    if (reports.size() > MAX_REPORTS) {
      reports.removeFirst();
    }
    changed = true;
    loop.execute(this::writeIfChanged);
  }

  /**
   * Called with the reports of a node when its row was read or has changed. Those of an earlier
   * process of this node count as well, and are kept in the row. Crashes that are too old are
   * ignored, as they stay in the row of a node that left for good.
   */
  void onReports(EndpointReports reports) {
    long nowEpochMs = System.currentTimeMillis();
    if (reports.observer().equals(nodeId)) {
      adopt(crashes, reports.crashes());
      adopt(leaving, reports.leaving());
    }
    for (CrashReport crash : reports.crashes()) {
      if (nowEpochMs - crash.epochMs() < PoisonGuard.QUARANTINE_MS) {
        poison.merge(
            new PoisonMessage(
                crash.fingerprint(), crash.endpoint(), reports.observer(), crash.crashId()));
      }
    }
    for (LeavingReport report : reports.leaving()) {
      if (watch.onLeaving(report.endpoint(), report.startedAtMs(), reports.observer())) {
        metrics.onLeaving("peer");
      }
    }
  }

  /** Adds the reports of an earlier process that the row would lose with the next write. */
  private static <T> void adopt(Deque<T> reports, List<T> earlier) {
    for (T report : earlier.reversed()) {
      if (!reports.contains(report) && reports.size() < MAX_REPORTS) {
        reports.addFirst(report);
      }
    }
  }

  /** Called periodically. */
  void tick(long nowMs) {
    if (nowMs >= tidyAtMs) {
      tidyAtMs = nowMs + TIDY_INTERVAL_MS;
      poison.expire();
      changed |= removeOutdated();
    }
    writeIfChanged();
  }

  /** Removes the reports that no longer matter and returns whether there were any. */
  private boolean removeOutdated() {
    Fleet fleet = watch.view().fleet();
    boolean cleared = crashes.removeIf(crash -> !poison.isAccused(crash.fingerprint()));
    return leaving.removeIf(report -> hasEnded(report, fleet)) || cleared;
  }

  private static boolean hasEnded(LeavingReport report, Fleet fleet) {
    Endpoint listed = fleet.find(report.endpoint());
    return listed == null || listed.startedAtMs() != report.startedAtMs();
  }

  private void writeIfChanged() {
    if (!changed || writing) {
      return;
    }
    changed = false;
    writing = true;
    removeOutdated();
    String key = ControlTables.reportKey(nodeId);
    PartitionWrite.Builder write = PartitionWrite.in(ControlTables.REPORTS);
    if (crashes.isEmpty() && leaving.isEmpty()) {
      write.remove(ControlTables.CONTROL, key);
    } else {
      EndpointReports reports =
          new EndpointReports(nodeId, List.copyOf(crashes), List.copyOf(leaving));
      write.put(ControlTables.CONTROL, key, ControlTables.encode(reports));
    }
    store
        .commit(write.build())
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  writing = false;
                  if (failure != null) {
                    changed = true;
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("reports-not-shared")
                            .with("crashes", crashes.size())
                            .with("leaving", leaving.size())
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                }));
  }
}
