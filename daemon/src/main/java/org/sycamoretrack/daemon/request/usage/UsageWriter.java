package org.sycamoretrack.daemon.request.usage;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.request.usage.UsageReportQueue;
import org.sycamoretrack.core.request.usage.UsageWindows;
import org.sycamoretrack.core.request.usage.UsageWriteSchedule;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Writes the counts of this process to the store, as {@link UsageWriteSchedule} decides.
 *
 * <p>A row is written on condition that it has the version that this process wrote last, so that a
 * write that takes effect late can't replace newer counts, and that the window has no report yet.
 * Counts that come after the report are logged and not written, since they would not be reported.
 *
 * <p>Confined to the control loop.
 */
public final class UsageWriter {
  /** Exceeds the sum of the timeouts of the store and of a peer that forwards the call. */
  private static final long CALL_TIMEOUT_MS = 3_000;

  private static final long RETRY_DELAY_MS = 500;
  private static final System.Logger LOG = System.getLogger(UsageWriter.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final UsageWindows windows;
  private final UsageWriteSchedule schedule;
  private final String key;
  private final IntSupplier nodes;
  private final LongSupplier timeMs;
  private final TreeMap<Long, WindowCounts> counted = new TreeMap<>();

  /**
   * Creates a writer.
   *
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param windows the windows
   * @param nodeId the id of this node
   * @param incarnation identifies this run of the process
   * @param nodes returns the number of live nodes
   * @param timeMs returns the true time in milliseconds since the Unix epoch
   */
  public UsageWriter(
      PartitionedStore store,
      EventLoop loop,
      UsageWindows windows,
      String nodeId,
      String incarnation,
      IntSupplier nodes,
      LongSupplier timeMs) {
    this.store = store;
    this.loop = loop;
    this.windows = windows;
    this.schedule = new UsageWriteSchedule(windows, phase(nodeId));
    this.key = UsageTable.countsKey(nodeId, incarnation);
    this.nodes = nodes;
    this.timeMs = timeMs;
  }

  /** Returns the place of a node among all nodes, evenly distributed from 0 to 1. */
  private static double phase(String nodeId) {
    return (RendezvousHash.score(UsageTable.USAGE, nodeId) >>> 11) * 0x1.0p-53;
  }

  /**
   * Handles changed counts.
   *
   * @param changes the complete counts of the windows that have changed
   */
  public void onCounts(SortedMap<Long, Map<String, Long>> changes) {
    changes.forEach(
        (window, counts) ->
            counted.computeIfAbsent(window, WindowCounts::new).latest = Map.copyOf(counts));
  }

  /** Writes what is due. Called some times a second. */
  public void tick() {
    long nowMs = timeMs.getAsLong();
    long oldest = UsageReportQueue.oldestWindow(windows, nowMs);
    for (WindowCounts counts : counted.headMap(oldest).values()) {
      counts.close("the store was not reachable in time");
    }
    counted.headMap(oldest).clear();
    for (WindowCounts counts : counted.values()) {
      if (counts.isDue(nowMs)) {
        counts.write(nowMs);
      }
    }
  }

  /**
   * Writes all counts that are not in the store, whether due or not. Called when the process ends.
   *
   * @return completes when the writes have ended
   */
  public CompletionStage<Void> flush() {
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (WindowCounts counts : counted.values()) {
      if (counts.isUnwritten()) {
        writes.add(counts.write(timeMs.getAsLong()).toCompletableFuture());
      }
    }
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
  }

  /** Returns the number of windows with counts that are not in the store. */
  public long unwrittenCount() {
    return counted.values().stream().filter(WindowCounts::isUnwritten).count();
  }

  private static long sum(Map<String, Long> counts) {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** The counts of a window and what of them is in the store. */
  private final class WindowCounts {
    private final long window;
    private Map<String, Long> latest = Map.of();
    private Map<String, Long> stored = Map.of();
    private long rowVersion = PartitionWrite.ABSENT;
    private long lastWriteMs = Long.MIN_VALUE;
    private long retryMs = Long.MIN_VALUE;
    private boolean writing;
    private boolean closed;

    private WindowCounts(long window) {
      this.window = window;
    }

    private boolean isUnwritten() {
      return !closed && !latest.equals(stored);
    }

    private boolean isDue(long nowMs) {
      return isUnwritten()
          && !writing
          && nowMs >= retryMs
          && schedule.isDue(window, lastWriteMs, nodes.getAsInt(), nowMs);
    }

    private CompletionStage<Void> write(long nowMs) {
      writing = true;
      Map<String, Long> sent = latest;
      PartitionWrite write =
          PartitionWrite.in(UsageTable.partition(window))
              .expect(UsageTable.USAGE, UsageTable.REPORT, PartitionWrite.ABSENT)
              .expect(UsageTable.USAGE, key, rowVersion)
              .put(UsageTable.USAGE, key, UsageTable.encodeCounts(sent))
              .build();
      return Failures.withTimeout(store.commit(write), loop, CALL_TIMEOUT_MS)
          .whenComplete(
              Failures.loggingExceptions(
                  (result, failure) -> {
                    writing = false;
                    if (failure == null) {
                      onResult(result, sent, nowMs);
                    } else {
                      retryMs = timeMs.getAsLong() + RETRY_DELAY_MS;
                    }
                  }))
          .handle((result, failure) -> null);
    }

    private void onResult(WriteResult result, Map<String, Long> sent, long sentMs) {
      switch (result) {
        case WriteResult.Committed committed -> {
          rowVersion = committed.version();
          stored = sent;
          lastWriteMs = sentMs;
        }
        case WriteResult.Conflict conflict -> {
          Row own = conflict.find(UsageTable.USAGE, key);
          rowVersion = own == null ? PartitionWrite.ABSENT : own.version();
          stored = own == null ? Map.of() : UsageTable.decodeCounts(own);
          if (conflict.find(UsageTable.USAGE, UsageTable.REPORT) != null) {
            close("the window was reported");
          }
        }
      }
    }

    /** Gives up counts that are not in the store. */
    private void close(String reason) {
      if (isUnwritten()) {
        LOG.log(
            System.Logger.Level.WARNING,
            LogEvent.of("usage-late")
                .with("window", window)
                .with("requests", sum(latest) - sum(stored))
                .with("reason", reason));
      }
      closed = true;
    }
  }
}
