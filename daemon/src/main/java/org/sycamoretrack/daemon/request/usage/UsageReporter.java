package org.sycamoretrack.daemon.request.usage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.usage.UsageReportQueue;
import org.sycamoretrack.core.request.usage.UsageReportQueue.Response;
import org.sycamoretrack.core.request.usage.UsageWindows;
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.DutyGrant;
import org.sycamoretrack.daemon.client.DutyOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.UsageReport;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.duty.DutyLease;

/**
 * Reports the usage of each window to the control service, while this node holds the lease of the
 * duty.
 *
 * <p>The content of a report is committed to the store before it is sent, on condition that the
 * window has no report. Every holder sends the committed content, so that two reports of a window
 * never differ. A new holder continues after the newest window whose report is marked as accepted.
 * An accepted report that could not be marked is sent again, which the service ignores.
 *
 * <p>A holder sums windows only after it has held the lease without interruption for {@value
 * #SETTLE_MS} ms, since the nodes write their counts late after an outage of the store.
 *
 * <p>Confined to the control loop, except {@link #lagMs}.
 */
public final class UsageReporter {
  /** Nodes write counts that they could not write within 3 s of the end of an outage. */
  private static final long SETTLE_MS = 3_000;

  /** Leaves time for two calls that end without a response before a report is late. */
  private static final long SEND_BEFORE_DEADLINE_MS = 4_000;

  /** The counts of a window are complete 3 s after its end. */
  private static final long MIN_SUM_DELAY_MS = 3_300;

  private static final long RESUME_RETRY_MS = 500;
  private static final int REJECTED_FROM = 400;
  private static final int REJECTED_BELOW = 500;
  private static final System.Logger LOG = System.getLogger(UsageReporter.class.getName());

  private final UsageStore store;
  private final DutyLease lease;
  private final DutyClient client;
  private final String nodeId;
  private final UsageWindows windows;
  private final long sumDelayMs;
  private final LongSupplier timeMs;
  private final Runnable onReported;
  private final Map<Long, UsageStore.Committed> committed = new HashMap<>();
  private UsageReportQueue queue;
  private long epoch;
  private long heldSinceMs = Long.MAX_VALUE;
  private long nextResumeMs = Long.MIN_VALUE;
  private boolean resuming;
  private volatile long lagMs;

  /**
   * Creates a reporter.
   *
   * @param store reads and writes the rows of windows
   * @param lease the lease of the duty
   * @param client sends the reports, and completes its stages on the control loop
   * @param nodeId the id of this node
   * @param windows the windows
   * @param deadlineMs the time after the end of a window at which its report is due
   * @param timeMs returns the true time in milliseconds since the Unix epoch
   * @param onReported called when a report was accepted
   */
  public UsageReporter(
      UsageStore store,
      DutyLease lease,
      DutyClient client,
      String nodeId,
      UsageWindows windows,
      long deadlineMs,
      LongSupplier timeMs,
      Runnable onReported) {
    this.store = store;
    this.lease = lease;
    this.client = client;
    this.nodeId = nodeId;
    this.windows = windows;
    this.sumDelayMs = Math.max(MIN_SUM_DELAY_MS, deadlineMs - SEND_BEFORE_DEADLINE_MS);
    this.timeMs = timeMs;
    this.onReported = onReported;
  }

  /**
   * Returns the time since the end of the oldest window that ended and was not reported, in
   * milliseconds; 0 if there is none or this node does not hold the lease. Thread-safe.
   */
  public long lagMs() {
    return lagMs;
  }

  /** Sums windows and sends reports. Called some times a second. */
  public void tick() {
    long nowMs = MonotonicClock.nowMs();
    updateLag();
    if (!lease.isHeld()) {
      heldSinceMs = Long.MAX_VALUE;
      return;
    }
    heldSinceMs = Math.min(heldSinceMs, nowMs);
    if (epoch != lease.epoch()) {
      epoch = lease.epoch();
      queue = null;
      resuming = false;
      committed.clear();
    }
    if (queue == null) {
      resume(nowMs);
      return;
    }
    if (nowMs - heldSinceMs >= SETTLE_MS) {
      queue.nextSum(timeMs.getAsLong()).ifPresent(this::sum);
    }
    lease.grant(nodeId).ifPresent(grant -> queue.nextSend(nowMs).ifPresent(w -> send(grant, w)));
    store.tick(timeMs.getAsLong(), queue.oldestUnreported());
  }

  private void updateLag() {
    boolean active = lease.isHeld() && queue != null;
    lagMs = active ? Math.max(0, timeMs.getAsLong() - windows.endMs(queue.oldestUnreported())) : 0;
  }

  /** Finds the window with which this holder begins. */
  private void resume(long nowMs) {
    if (resuming || nowMs < nextResumeMs) {
      return;
    }
    resuming = true;
    long resumedEpoch = epoch;
    long startedMs = timeMs.getAsLong();
    store
        .deploymentStart(windows.at(startedMs) + 1)
        .thenCompose(
            start ->
                lastAccepted(
                        windows.at(startedMs), UsageReportQueue.oldestWindow(windows, startedMs))
                    .thenApply(
                        last -> {
                          long first =
                              UsageReportQueue.firstWindow(windows, start, last, startedMs);
                          LOG.log(
                              System.Logger.Level.INFO,
                              LogEvent.of("usage-resumed")
                                  .with("window", first)
                                  .with("lastReported", last.orElse(-1))
                                  .with("epoch", resumedEpoch));
                          return first;
                        }))
        .whenComplete(
            Failures.loggingExceptions(
                (first, failure) -> {
                  if (epoch != resumedEpoch || queue != null) {
                    return;
                  }
                  resuming = false;
                  if (failure == null) {
                    queue = new UsageReportQueue(windows, sumDelayMs, first);
                  } else {
                    nextResumeMs = MonotonicClock.nowMs() + RESUME_RETRY_MS;
                    logStoreFailure("resume", windows.at(startedMs), failure);
                  }
                }));
  }

  /** Returns the newest of the given windows whose report was accepted. */
  private CompletionStage<OptionalLong> lastAccepted(long newest, long oldest) {
    if (newest < oldest) {
      return CompletableFuture.completedFuture(OptionalLong.empty());
    }
    return store
        .isAccepted(newest)
        .thenCompose(
            accepted ->
                accepted
                    ? CompletableFuture.completedFuture(OptionalLong.of(newest))
                    : lastAccepted(newest - 1, oldest));
  }

  private void sum(long window) {
    UsageReportQueue summing = queue;
    store
        .commitReport(window)
        .whenComplete(
            Failures.loggingExceptions(
                (report, failure) -> {
                  if (summing != queue) {
                    return;
                  }
                  if (failure == null) {
                    if (!report.accepted()) {
                      committed.put(window, report);
                    }
                    queue.onSummed(report.accepted());
                  } else {
                    queue.onSumFailed(timeMs.getAsLong());
                    logStoreFailure("sum", window, failure);
                  }
                }));
  }

  private static void logStoreFailure(String step, long window, Throwable failure) {
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("usage-store-failed")
            .with("step", step)
            .with("window", window)
            .with("reason", Failures.unwrap(failure).getMessage()));
  }

  private void send(DutyGrant grant, long window) {
    UsageReportQueue sending = queue;
    UsageStore.Committed report = committed.get(window);
    client
        .reportUsage(grant, new UsageReport(window, report.counts()))
        .whenComplete(
            Failures.loggingExceptions(
                (outcome, failure) -> {
                  DutyOutcome known =
                      failure == null ? outcome : new DutyOutcome.Unknown(failure.toString());
                  onOutcome(sending, grant, window, report, known);
                }));
  }

  private void onOutcome(
      UsageReportQueue sending,
      DutyGrant grant,
      long window,
      UsageStore.Committed report,
      DutyOutcome outcome) {
    long nowTrueMs = timeMs.getAsLong();
    boolean accepted = outcome instanceof DutyOutcome.Done;
    log(grant, window, report, outcome, nowTrueMs - windows.endMs(window));
    if (accepted) {
      onReported.run();
      store.markAccepted(window, report);
    }
    if (sending != queue) {
      return;
    }
    if (queue.onResponse(response(outcome), nowTrueMs, MonotonicClock.nowMs())) {
      committed.remove(window);
      if (!accepted) {
        LOG.log(System.Logger.Level.ERROR, LogEvent.of("usage-abandoned").with("window", window));
      }
    }
  }

  private static Response response(DutyOutcome outcome) {
    return switch (outcome) {
      case DutyOutcome.Done done -> Response.ACCEPTED;
      case DutyOutcome.Unavailable unavailable -> Response.REJECTED;
      case DutyOutcome.Refused refused ->
          refused.status() >= REJECTED_FROM && refused.status() < REJECTED_BELOW
              ? Response.REJECTED
              : Response.FAILED;
      case DutyOutcome.Throttled throttled -> Response.FAILED;
      case DutyOutcome.Unknown unknown -> Response.FAILED;
    };
  }

  private static void log(
      DutyGrant grant,
      long window,
      UsageStore.Committed report,
      DutyOutcome outcome,
      long elapsedMs) {
    boolean accepted = outcome instanceof DutyOutcome.Done;
    LogEvent event =
        LogEvent.of(accepted ? "usage-reported" : "usage-report-failed")
            .with("window", window)
            .with("epoch", grant.epoch())
            .with("elapsedMs", elapsedMs)
            .with("customers", report.counts().size())
            .with("requests", report.counts().values().stream().mapToLong(Long::longValue).sum())
            .with("rows", report.rows());
    if (!accepted) {
      event.with("outcome", outcome);
    }
    LOG.log(accepted ? System.Logger.Level.INFO : System.Logger.Level.WARNING, event);
  }

  /**
   * Adds the state of the reporter to the state dump.
   *
   * @param json receives the fields
   */
  public void describe(ObjectNode json) {
    json.put("reporting", lease.isHeld() && queue != null);
    if (queue != null && lease.isHeld()) {
      json.put("oldestUnreportedWindow", queue.oldestUnreported())
          .put("unsentReports", queue.unsentCount())
          .put("lagMs", lagMs);
    }
  }
}
