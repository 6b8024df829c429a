package org.sycamoretrack.daemon.process.storebacked;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.sycamoretrack.core.request.PoisonRequestDetector.CrashRecord;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.PoisonMessage;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.CrashReport;
import org.sycamoretrack.daemon.version.deployment.ControlTables.CrashReports;

/**
 * Shares the crashes that this node attributes to requests with the other nodes, through a row of
 * this node in the store that all nodes watch.
 *
 * <p>The row holds the {@value #MAX_REPORTS} newest reports that still count against a request. It
 * is written when a crash was added, and again after {@value #TIDY_INTERVAL_MS} ms without those
 * that no longer count. A write that fails is repeated at the next tick. While the store is
 * unreachable, each node knows only the crashes that it has seen itself.
 *
 * <p>Confined to the control loop, except for {@link #onCrash}.
 */
final class SharedCrashReports {
  private static final int MAX_REPORTS = 64;

  /** A row is only rewritten to shrink it when that is worth a write. */
  private static final long TIDY_INTERVAL_MS = 30_000;

  /** Reports of a node that left for good stay in its row; older ones are ignored. */
  private static final long MAX_AGE_MS = 600_000;

  private static final System.Logger LOG = System.getLogger(SharedCrashReports.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final String nodeId;
  private final PoisonGuard poison;
  private final Deque<CrashReport> reports = new ArrayDeque<>();
  private long tidyAtMs;
  private boolean changed;
  private boolean writing;

  SharedCrashReports(PartitionedStore store, EventLoop loop, String nodeId, PoisonGuard poison) {
    this.store = store;
    this.loop = loop;
    this.nodeId = nodeId;
    this.poison = poison;
  }

  /** Called with each crash that this node attributes to a request, on any thread. */
  void onCrash(CrashRecord crash) {
    CrashReport report =
        new CrashReport(
            crash.fingerprint(), crash.endpoint(), crash.deathId(), System.currentTimeMillis());
    loop.execute(() -> add(report));
  }

  private void add(CrashReport report) {
    reports.addLast(report);
    if (reports.size() > MAX_REPORTS) {
      reports.removeFirst();
    }
    changed = true;
    loop.execute(this::writeIfChanged);
  }

  /**
   * Called with the reports of a node when its row was read or has changed. Those of an earlier
   * process of this node count as well.
   */
  void onReports(CrashReports crashes) {
    long nowEpochMs = System.currentTimeMillis();
    for (CrashReport report : crashes.reports()) {
      if (nowEpochMs - report.epochMs() < MAX_AGE_MS) {
        poison.merge(
            new PoisonMessage(
                report.fingerprint(), report.endpoint(), crashes.observer(), report.crashId()));
      }
    }
  }

  /** Called periodically. */
  void tick(long nowMs) {
    if (nowMs >= tidyAtMs) {
      tidyAtMs = nowMs + TIDY_INTERVAL_MS;
      poison.expire();
      changed |= reports.removeIf(report -> !poison.isAccused(report.fingerprint()));
    }
    writeIfChanged();
  }

  private void writeIfChanged() {
    if (!changed || writing) {
      return;
    }
    changed = false;
    writing = true;
    String key = ControlTables.crashKey(nodeId);
    PartitionWrite.Builder write = PartitionWrite.in(ControlTables.CRASHES);
    if (reports.isEmpty()) {
      write.remove(ControlTables.CONTROL, key);
    } else {
      byte[] row = ControlTables.encode(new CrashReports(nodeId, List.copyOf(reports)));
      write.put(ControlTables.CONTROL, key, row);
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
                        LogEvent.of("crashes-not-shared")
                            .with("reports", reports.size())
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                }));
  }
}
