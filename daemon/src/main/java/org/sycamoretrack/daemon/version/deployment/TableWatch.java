package org.sycamoretrack.daemon.version.deployment;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.WatchPace;
import org.sycamoretrack.daemon.farend.Failures;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.farend.PartitionedStore.Changes;
import org.sycamoretrack.daemon.farend.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Follows a table of the store: reads it whole, then asks for what has changed since.
 *
 * <p>A question for changes waits for {@value #waitMs} ms only, and the store's client gives it up
 * soon after, so that a connection that has gone silent is noticed. When the store has dropped the
 * history, the table is read whole again. Failures are repeated after a pause; what was known stays
 * known meanwhile.
 *
 * <p>Confined to one event loop, on which the listener is called. Only {@link #confirmedAtMs} may
 * be read from any thread.
 */
public final class TableWatch {
  /** A refused question costs the store a call, so it is not repeated at once. */
  private static final long RETRY_DELAY_MS = 150;

  /** A pause between two answers that is longer than a question's wait plus its time-out. */
  private static final long OUTAGE_THRESHOLD_MS = 1_500;

  private static final System.Logger LOG = System.getLogger(TableWatch.class.getName());

  /** Receives the rows of the table. */
  public interface Listener {
    /**
     * Called with all rows, at the start and after a loss of history.
     *
     * @param rows the rows; what is missing doesn't exist
     */
    void onSnapshot(List<Row> rows);

    /**
     * Called with rows that changed.
     *
     * @param rows the rows, oldest first
     */
    void onChanges(List<Row> rows);
  }

  private final PartitionedStore store;
  private final String table;
  private final boolean partitioned;
  private final EventLoop loop;
  private final Listener listener;
  private long waitMs = WatchPace.waitMs(1, 1);
  private long version;
  private boolean reachable = true;
  private volatile long confirmedAtMs = Long.MIN_VALUE;
  private long lastAnswerAtMs = Long.MIN_VALUE;
  private long recoveredAtMs = Long.MIN_VALUE;
  private volatile boolean stopped;

  /**
   * Creates a watch.
   *
   * @param store the store
   * @param table the table
   * @param partitioned whether all partitions are read; false for the one with the empty name
   * @param loop the loop of the store's answers
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

  /** Sets how long a question waits for a change, in milliseconds. Called on the loop. */
  void setWaitMs(long newWaitMs) {
    waitMs = newWaitMs;
  }

  /** Starts to follow the table. */
  public void start() {
    loop.execute(this::readTable);
  }

  /** Stops following. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns when the last question that was answered was asked, by the steady clock; {@link
   * Long#MIN_VALUE} before the first answer.
   */
  public long confirmedAtMs() {
    return confirmedAtMs;
  }

  private void readTable() {
    if (stopped) {
      return;
    }
    TableRead reading = new TableRead(MonotonicClock.nowMs());
    if (partitioned) {
      store
          .partitions(table)
          .whenComplete(
              Failures.logged(
                  (partitions, failure) -> {
                    if (failure != null) {
                      retry(failure, this::readTable);
                    } else {
                      reading.remaining.addAll(partitions);
                      readNextPartition(reading);
                    }
                  }));
    } else {
      reading.remaining.add("");
      readNextPartition(reading);
    }
  }

  private void readNextPartition(TableRead reading) {
    String partition = reading.remaining.poll();
    if (partition == null) {
      onTableRead(reading);
      return;
    }
    store
        .scanAll(table, partition)
        .whenComplete(
            Failures.logged(
                (page, failure) -> {
                  if (failure != null) {
                    retry(failure, this::readTable);
                    return;
                  }
                  reading.rows.addAll(page.rows());
                  reading.version = Math.min(reading.version, page.version());
                  readNextPartition(reading);
                }));
  }

  private void onTableRead(TableRead reading) {
    if (reading.version != Long.MAX_VALUE) {
      version = reading.version;
    }
    onAnswered(reading.sentAtMs);
    listener.onSnapshot(reading.rows);
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
            Failures.logged(
                (changes, failure) -> {
                  if (failure != null) {
                    retry(failure, this::pollChanges);
                    return;
                  }
                  switch (changes) {
                    case Changes.Changed changed -> {
                      version = Math.max(version, changed.version());
                      onAnswered(sentAtMs);
                      if (!changed.rows().isEmpty()) {
                        listener.onChanges(changed.rows());
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
   * Returns when the store answered again after an outage, by the steady clock; {@link
   * Long#MIN_VALUE} when there was none.
   */
  long recoveredAtMs() {
    return recoveredAtMs;
  }

  private void onAnswered(long sentAtMs) {
    confirmedAtMs = sentAtMs;
    long nowMs = MonotonicClock.nowMs();
    if (lastAnswerAtMs != Long.MIN_VALUE && nowMs - lastAnswerAtMs > OUTAGE_THRESHOLD_MS) {
      recoveredAtMs = nowMs;
    }
    lastAnswerAtMs = nowMs;
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

  /** A read of the whole table that is under way. */
  private static final class TableRead {
    private final long sentAtMs;
    private final Deque<String> remaining = new ArrayDeque<>();
    private final List<Row> rows = new ArrayList<>();
    private long version = Long.MAX_VALUE;

    private TableRead(long sentAtMs) {
      this.sentAtMs = sentAtMs;
    }
  }
}
