package org.sycamoretrack.daemon.version.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.connection.EventLoops;

/** Tests of {@link TableWatch}. */
class TableWatchTest {
  private static final String TABLE = "t";
  private static final String UNREADABLE = "unreadable";
  private static final long TIMEOUT_MS = 2_000;

  private final EventLoopGroup group = EventLoops.start("watch", 1);

  /** Plays the loss of the history, and a write right after the n-th read of the table. */
  private static final class InterruptedStore implements PartitionedStore {
    private final TreeMap<Long, Row> history = new TreeMap<>();
    private final int writeAfterRead;
    private final String newPartition;
    private int reads;
    private long version = 1;
    private long droppedUpTo;
    private int historyLosses;

    private InterruptedStore(int writeAfterRead, String newPartition) {
      this.writeAfterRead = writeAfterRead;
      this.newPartition = newPartition;
    }

    private synchronized void put(String partition) {
      version++;
      byte[] value = partition.getBytes(StandardCharsets.UTF_8);
      history.put(version, new Row(TABLE, partition, "k", value, version));
    }

    /** Plays writes to other tables, of which the history is lost. */
    private synchronized void loseHistoryOfOtherTables() {
      version += 100;
      droppedUpTo = version;
    }

    private <T> CompletionStage<T> afterRead(T result) {
      if (++reads == writeAfterRead) {
        put(newPartition);
      }
      return CompletableFuture.completedFuture(result);
    }

    @Override
    public synchronized CompletionStage<Partitions> partitions(String table) {
      Set<String> names = new TreeSet<>();
      history.values().forEach(row -> names.add(row.partition()));
      return afterRead(new Partitions(new ArrayList<>(names), version));
    }

    @Override
    public synchronized CompletionStage<Page> scan(
        String table, String partition, String fromKey, int limit) {
      List<Row> rows =
          history.values().stream().filter(row -> row.partition().equals(partition)).toList();
      return afterRead(new Page(rows, version, false));
    }

    @Override
    public synchronized CompletionStage<Changes> changes(
        String table, long afterVersion, long waitMs) {
      if (afterVersion < droppedUpTo) {
        historyLosses++;
        return CompletableFuture.completedFuture(new Changes.HistoryLost());
      }
      List<Row> rows = List.copyOf(history.tailMap(afterVersion, false).values());
      return new CompletableFuture<Changes>()
          .completeOnTimeout(new Changes.Changed(rows, version), 5, TimeUnit.MILLISECONDS);
    }

    private synchronized int reads() {
      return reads;
    }

    private synchronized int historyLosses() {
      return historyLosses;
    }

    @Override
    public CompletionStage<WriteResult> commit(PartitionWrite write) {
      throw new UnsupportedOperationException("a watch doesn't write");
    }
  }

  @AfterEach
  void stop() {
    EventLoops.stop(group);
  }

  /**
   * Guards against a lost row: a partition was created after the partitions were listed and before
   * the first of them was read, and the watch continued after the version of that read. Nodes then
   * never took over the batch of that partition.
   */
  @ParameterizedTest
  @CsvSource({
    // reads of the first pass: 1 lists the partitions, 2 and 3 read them
    "1, 2",
    "2, 2",
    "3, 2",
    "1, 0"
  })
  void reportsPartitionThatIsCreatedWhileTheTableIsRead(int createdAfterRead, int partitions) {
    InterruptedStore store = new InterruptedStore(createdAfterRead, "new");
    for (int i = 0; i < partitions; i++) {
      store.put("p" + i);
    }
    Set<String> seen = watch(store);

    awaitSeen(seen, "new");
  }

  /** Guards against reading an empty table over and over: no page told the version of the store. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void continuesAfterTheNewestVersionOfTheStore(int partitions) {
    InterruptedStore store = new InterruptedStore(0, "");
    for (int i = 0; i < partitions; i++) {
      store.put("p" + i);
    }
    store.loseHistoryOfOtherTables();
    Set<String> seen = watch(store);
    awaitRead(store, 1 + partitions);
    store.put("later");

    awaitSeen(seen, "later");
    assertThat(store.historyLosses()).isZero();
  }

  /** Guards against a watch that stops because its listener can't apply a row. */
  @ParameterizedTest
  @CsvSource({"before the start, 1", "after the start, 0"})
  void goesOnAfterTheListenerHasThrown(String unused, int rowsAtStart) {
    InterruptedStore store = new InterruptedStore(0, "");
    for (int i = 0; i < rowsAtStart; i++) {
      store.put(UNREADABLE);
    }
    Set<String> seen = watch(store);
    awaitRead(store, 1 + rowsAtStart);
    store.put(UNREADABLE);
    awaitSeen(seen, UNREADABLE);
    store.put("later");

    awaitSeen(seen, "later");
  }

  private Set<String> watch(PartitionedStore store) {
    Set<String> seen = new ConcurrentSkipListSet<>();
    new TableWatch(
            store,
            TABLE,
            true,
            group.next(),
            new TableWatch.Listener() {
              @Override
              public void onSnapshot(List<Row> rows) {
                onChanges(rows);
              }

              @Override
              public void onChanges(List<Row> rows) {
                rows.forEach(row -> seen.add(row.partition()));
                if (rows.stream().anyMatch(row -> row.partition().equals(UNREADABLE))) {
                  throw new IllegalStateException("a row that can't be applied");
                }
              }
            })
        .start();
    return seen;
  }

  private static void awaitSeen(Set<String> seen, String partition) {
    await(() -> seen.contains(partition));
    assertThat(seen).contains(partition);
  }

  private static void awaitRead(InterruptedStore store, int reads) {
    await(() -> store.reads() >= reads);
    assertThat(store.reads()).isGreaterThanOrEqualTo(reads);
  }

  private static void await(BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
      Thread.onSpinWait();
    }
  }
}
