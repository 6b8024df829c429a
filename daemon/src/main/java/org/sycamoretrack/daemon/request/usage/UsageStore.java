package org.sycamoretrack.daemon.request.usage;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.usage.UsageWindows;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Page;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.duty.Duty;

/**
 * The store calls of the holder of the duty: sums the counts of a window, commits the report, marks
 * it as accepted, and removes the rows of old windows.
 *
 * <p>Confined to the control loop.
 */
public final class UsageStore {
  /** Exceeds the sum of the timeouts of the store and of a peer that forwards the call. */
  private static final long CALL_TIMEOUT_MS = 3_000;

  private static final long MARK_RETRY_MS = 500;
  private static final long REMOVE_INTERVAL_MS = 30_000;

  /**
   * Twice the time for which a new holder looks back, so that it never finds a window without the
   * report that an earlier holder has removed, even if their times differ.
   */
  private static final long RETENTION_MS = 120_000;

  /** A transaction of the store is limited to 100 entries. */
  private static final int MAX_REMOVALS = 90;

  private static final System.Logger LOG = System.getLogger(UsageStore.class.getName());

  /**
   * A report that is in the store.
   *
   * @param counts the requests by customer
   * @param accepted whether the control service is known to have it
   * @param version the version of the row
   * @param rows the number of processes whose counts were summed; -1 if another holder summed them
   */
  record Committed(SortedMap<String, Long> counts, boolean accepted, long version, int rows) {}

  private record Mark(long window, Committed report) {}

  private final PartitionedStore store;
  private final EventLoop loop;
  private final UsageWindows windows;
  private final Deque<Mark> unmarked = new ArrayDeque<>();
  private boolean marking;
  private boolean removing;
  private long nextMarkMs = Long.MIN_VALUE;
  private long nextRemovalMs = Long.MIN_VALUE;

  /**
   * Creates an instance.
   *
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param windows the windows
   */
  public UsageStore(PartitionedStore store, EventLoop loop, UsageWindows windows) {
    this.store = store;
    this.loop = loop;
    this.windows = windows;
  }

  private <T> CompletionStage<T> limited(CompletionStage<T> stage) {
    return Failures.withTimeout(stage, loop, CALL_TIMEOUT_MS);
  }

  /**
   * Returns the first window of the deployment, and stores it if there is none.
   *
   * @param window the window to store
   */
  CompletionStage<Long> deploymentStart(long window) {
    PartitionWrite write =
        PartitionWrite.in(Duty.USAGE.id())
            .expect(ControlTables.CONTROL, UsageTable.START, PartitionWrite.ABSENT)
            .put(ControlTables.CONTROL, UsageTable.START, UsageTable.encodeStart(window))
            .build();
    return limited(store.commit(write))
        .thenApply(
            result ->
                switch (result) {
                  case WriteResult.Committed done -> window;
                  case WriteResult.Conflict conflict ->
                      UsageTable.decodeStart(
                          conflict.find(ControlTables.CONTROL, UsageTable.START));
                });
  }

  /** Returns whether a window has a report that is marked as accepted. */
  CompletionStage<Boolean> isAccepted(long window) {
    return limited(store.scan(UsageTable.USAGE, UsageTable.partition(window), UsageTable.REPORT, 1))
        .thenApply(
            page ->
                page.rows().stream()
                    .filter(row -> row.key().equals(UsageTable.REPORT))
                    .anyMatch(row -> UsageTable.decodeReport(row).accepted()));
  }

  /** Returns the report of a window, which is summed and committed if there is none. */
  CompletionStage<Committed> commitReport(long window) {
    return limited(store.scanAll(UsageTable.USAGE, UsageTable.partition(window)))
        .thenCompose(page -> commitReport(window, page));
  }

  private CompletionStage<Committed> commitReport(long window, Page page) {
    SortedMap<String, Long> sum = new TreeMap<>();
    int rows = 0;
    for (Row row : page.rows()) {
      if (row.key().equals(UsageTable.REPORT)) {
        return CompletableFuture.completedFuture(toCommitted(row));
      }
      try {
        UsageTable.decodeCounts(row).forEach((name, count) -> sum.merge(name, count, Long::sum));
        rows++;
      } catch (IllegalArgumentException e) {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("row-unreadable")
                .with("table", row.table())
                .with("key", row.key())
                .with("reason", e.getMessage()));
      }
    }
    int summed = rows;
    PartitionWrite write =
        PartitionWrite.in(UsageTable.partition(window))
            .expect(UsageTable.USAGE, UsageTable.REPORT, PartitionWrite.ABSENT)
            .put(
                UsageTable.USAGE,
                UsageTable.REPORT,
                UsageTable.encodeReport(new UsageTable.Report(sum, false)))
            .build();
    return limited(store.commit(write))
        .thenApply(
            result ->
                switch (result) {
                  case WriteResult.Committed done ->
                      new Committed(sum, false, done.version(), summed);
                  case WriteResult.Conflict conflict ->
                      toCommitted(conflict.find(UsageTable.USAGE, UsageTable.REPORT));
                });
  }

  private static Committed toCommitted(Row row) {
    UsageTable.Report report = UsageTable.decodeReport(row);
    return new Committed(report.counts(), report.accepted(), row.version(), -1);
  }

  /** Marks a report as accepted, and repeats that at later ticks until it has succeeded. */
  void markAccepted(long window, Committed report) {
    unmarked.addLast(new Mark(window, report));
  }

  /**
   * Marks reports and removes old windows. Called some times a second while the lease is held.
   *
   * @param nowMs the time, in milliseconds since the Unix epoch
   * @param oldestUnreported the oldest window whose rows are still needed
   */
  void tick(long nowMs, long oldestUnreported) {
    if (!marking && !unmarked.isEmpty() && nowMs >= nextMarkMs) {
      mark(unmarked.getFirst(), nowMs);
    }
    if (!removing && nowMs >= nextRemovalMs) {
      nextRemovalMs = nowMs + REMOVE_INTERVAL_MS;
      removeBefore(Math.min(windows.at(nowMs - RETENTION_MS), oldestUnreported));
    }
  }

  private void mark(Mark mark, long nowMs) {
    marking = true;
    UsageTable.Report accepted = new UsageTable.Report(mark.report().counts(), true);
    PartitionWrite write =
        PartitionWrite.in(UsageTable.partition(mark.window()))
            .expect(UsageTable.USAGE, UsageTable.REPORT, mark.report().version())
            .put(UsageTable.USAGE, UsageTable.REPORT, UsageTable.encodeReport(accepted))
            .build();
    limited(store.commit(write))
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  marking = false;
                  if (failure == null) {
                    // After a conflict the row was marked or removed by a write of unknown outcome
                    // or by another holder.
                    unmarked.removeFirst();
                  } else {
                    nextMarkMs = nowMs + MARK_RETRY_MS;
                  }
                }));
  }

  private void removeBefore(long window) {
    removing = true;
    limited(store.partitions(UsageTable.USAGE))
        .thenCompose(
            partitions ->
                removeNext(
                    partitions.names().stream().filter(name -> isBefore(name, window)).iterator()))
        .whenComplete(
            Failures.loggingExceptions(
                (done, failure) -> {
                  removing = false;
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.INFO,
                        LogEvent.of("usage-rows-not-removed")
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                }));
  }

  private static boolean isBefore(String partition, long window) {
    try {
      return Long.parseLong(partition) < window;
    } catch (NumberFormatException e) {
      // Not a window of this program.
      return false;
    }
  }

  private CompletionStage<Void> removeNext(Iterator<String> partitions) {
    if (!partitions.hasNext()) {
      return CompletableFuture.completedFuture(null);
    }
    String partition = partitions.next();
    return limited(store.scan(UsageTable.USAGE, partition, "", MAX_REMOVALS))
        .thenCompose(page -> removeRows(partition, page.rows(), page.more()))
        .thenCompose(done -> removeNext(partitions));
  }

  private CompletionStage<Void> removeRows(String partition, List<Row> rows, boolean more) {
    if (rows.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    PartitionWrite.Builder write = PartitionWrite.in(partition);
    rows.forEach(row -> write.remove(UsageTable.USAGE, row.key()));
    CompletionStage<WriteResult> removed = limited(store.commit(write.build()));
    if (!more) {
      return removed.thenApply(result -> null);
    }
    return removed
        .thenCompose(result -> limited(store.scan(UsageTable.USAGE, partition, "", MAX_REMOVALS)))
        .thenCompose(page -> removeRows(partition, page.rows(), page.more()));
  }
}
