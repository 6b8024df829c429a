package org.sycamoretrack.daemon.version.deployment;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.LongPollWait;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Changes;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Watches a table of the store: reads the whole table, then long-polls for changes.
 *
 * <p>The store holds a poll for a limited time, and the store's client times out soon after that,
 * so that a dead connection is noticed. When the store no longer has the history since the known
 * version, the whole table is read again.
 *
 * <p>The reads of a whole table aren't atomic, so the polls continue after the lowest version of
 * all of them, the list of partitions included. For example, if the partitions are listed at
 * version 10, partition {@code p} is created at 11 and the last page is read at 12, then polling
 * after 10 reports {@code p}.
 *
 * <p>Failed calls are repeated after a delay; the listener is not notified of failures, so the rows
 * received earlier remain valid.
 *
 * <p>Confined to one event loop, on which the listener is called. Only {@link #confirmedAtMs} may
 * be read from any thread.
 */
public final class TableWatch {
  /** A failed call still costs the store work, so it is not repeated at once. */
  private static final long RETRY_DELAY_MS = 150;

  /**
   * The time between two responses that counts as an outage: longer than a poll's wait plus its
   * timeout.
   */
  private static final long OUTAGE_THRESHOLD_MS = 1_500;

  private static final System.Logger LOG = System.getLogger(TableWatch.class.getName());

  /** Receives the rows of a table. */
  public interface Listener {
    /**
     * Called with all rows, at the start and after the store has lost the history.
     *
     * @param rows all existing rows
     */
    void onSnapshot(List<Row> rows);

    /**
     * Called with the rows that changed, including removed ones.
     *
     * @param rows the rows, in the order of their changes
     */
    void onChanges(List<Row> rows);
  }

  private final PartitionedStore store;
  private final String table;
  private final boolean partitioned;
  private final EventLoop loop;
  private final Listener listener;
  private long waitMs = LongPollWait.waitMs(1, 1, LongPollWait.MIN_DRAIN_MS);
  private long version;
  private boolean reachable = true;
  private volatile long confirmedAtMs = Long.MIN_VALUE;
  private long lastResponseAtMs = Long.MIN_VALUE;
  private long recoveredAtMs = Long.MIN_VALUE;
  private volatile boolean stopped;

  /**
   * Creates a watch.
   *
   * @param store the store
   * @param table the table
   * @param partitioned true to read all partitions, false to read only the one with the empty name
   * @param loop the event loop on which the store completes calls
   * @param listener receives the rows
   */
  public TableWatch(
      PartitionedStore store,
      String table,
      boolean partitioned,
      EventLoop loop,
      Listener listener) {
    this.store = store;
    this.table = table;
    this.partitioned = partitioned;
    this.loop = loop;
    this.listener = listener;
  }

  /** Sets how long the store holds a poll without changes, in milliseconds. Called on the loop. */
  void setWaitMs(long newWaitMs) {
    waitMs = newWaitMs;
  }

  /** Starts to watch the table. */
  public void start() {
    loop.execute(this::readTable);
  }

  /** Stops watching the table. */
  public void stop() {
    stopped = true;
  }

  /** Returns the version of the store up to which the listener has been called with all rows. */
  long version() {
    return version;
  }

  /**
   * Returns when the last successful call was sent, by the monotonic clock; {@link Long#MIN_VALUE}
   * before the first response.
   */
  public long confirmedAtMs() {
    return confirmedAtMs;
  }

  private void readTable() {
    if (stopped) {
      return;
    }
    TableRead tableRead = new TableRead(MonotonicClock.nowMs());
    if (partitioned) {
      store
          .partitions(table)
          .whenComplete(
              Failures.loggingExceptions(
                  (partitions, failure) -> {
                    if (failure != null) {
                      retry(failure, this::readTable);
                    } else {
                      tableRead.remainingPartitions.addAll(partitions.names());
                      tableRead.version = partitions.version();
                      readNextPartition(tableRead);
                    }
                  }));
    } else {
      tableRead.remainingPartitions.add("");
      readNextPartition(tableRead);
    }
  }

  private void readNextPartition(TableRead tableRead) {
    String partition = tableRead.remainingPartitions.poll();
    if (partition == null) {
      onTableRead(tableRead);
      return;
    }
    store
        .scanAll(table, partition)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  if (failure != null) {
                    retry(failure, this::readTable);
                    return;
                  }
                  tableRead.rows.addAll(page.rows());
                  tableRead.version = Math.min(tableRead.version, page.version());
                  readNextPartition(tableRead);
                }));
  }

  private void onTableRead(TableRead tableRead) {
    version = tableRead.version;
    onResponse(tableRead.sentAtMs);
    notifyListener(() -> listener.onSnapshot(tableRead.rows));
    pollChanges();
  }

  private void pollChanges() {
    if (stopped) {
      return;
    }
    long sentAtMs = MonotonicClock.nowMs();
    store
        .changes(table, version, waitMs)
        .whenComplete(
            Failures.loggingExceptions(
                (changes, failure) -> {
                  if (failure != null) {
                    retry(failure, this::pollChanges);
                    return;
                  }
                  switch (changes) {
                    case Changes.Changed changed -> {
                      version = Math.max(version, changed.version());
                      onResponse(sentAtMs);
                      if (!changed.rows().isEmpty()) {
                        notifyListener(() -> listener.onChanges(changed.rows()));
                      }
                      pollChanges();
                    }
                    case Changes.HistoryLost lost -> {
                      LOG.log(
                          System.Logger.Level.INFO,
                          LogEvent.of("history-lost")
                              .with("table", table)
                              .with("version", version));
                      readTable();
                    }
                  }
                }));
  }

  /**
   * Calls the listener. The watch goes on if it throws, for example on a row that it can't read.
   */
  private void notifyListener(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException | Error e) {
      LOG.log(
          System.Logger.Level.ERROR,
          LogEvent.of("rows-not-applied").with("table", table).with("reason", e.toString()));
    }
  }

  /**
   * Returns when the store first responded after the latest outage, by the monotonic clock; {@link
   * Long#MIN_VALUE} when there was no outage.
   */
  long recoveredAtMs() {
    return recoveredAtMs;
  }

  /**
   * Returns when the store last responded, by the monotonic clock; {@link Long#MIN_VALUE} before
   * the first response.
   */
  long lastResponseAtMs() {
    return lastResponseAtMs;
  }

  private void onResponse(long sentAtMs) {
    confirmedAtMs = sentAtMs;
    long nowMs = MonotonicClock.nowMs();
    if (lastResponseAtMs != Long.MIN_VALUE && nowMs - lastResponseAtMs > OUTAGE_THRESHOLD_MS) {
      recoveredAtMs = nowMs;
    }
    lastResponseAtMs = nowMs;
    if (!reachable) {
      reachable = true;
      LOG.log(System.Logger.Level.INFO, LogEvent.of("store-regained").with("table", table));
    }
  }

  private void retry(Throwable failure, Runnable action) {
    if (reachable) {
      reachable = false;
      LOG.log(
          System.Logger.Level.WARNING,
          LogEvent.of("store-lost")
              .with("table", table)
              .with("reason", Failures.unwrap(failure).getMessage()));
    }
    loop.schedule(action, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  /** A read of the whole table that is in progress. */
  private static final class TableRead {
    private final long sentAtMs;
    private final Deque<String> remainingPartitions = new ArrayDeque<>();
    private final List<Row> rows = new ArrayList<>();

    /** The lowest version of the reads so far. */
    private long version = Long.MAX_VALUE;

    private TableRead(long sentAtMs) {
      this.sentAtMs = sentAtMs;
    }
  }
}
