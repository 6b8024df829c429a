package org.sycamoretrack.daemon.version.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.Lease;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.transport.connection.EventLoops;

/** Tests of {@link DutyLease} over changes of the holder and of its process. */
class DutyLeaseTest {
  /** Commands of two holders within this time break the users' rule. */
  private static final long LEASE_MS = 3_000;

  private static final long TIMEOUT_MS = 8_000;

  private final LeaseStore store = new LeaseStore();
  private final List<EventLoopGroup> groups = new ArrayList<>();

  /** Holds the row of the lease. */
  private static final class LeaseStore implements PartitionedStore {
    private Row row;
    private long version;
    private boolean away;

    private synchronized void set(Lease.Row lease, String holder, long handoverRemainingMs) {
      byte[] value = ControlTables.encode(lease, holder, handoverRemainingMs);
      version++;
      row =
          new Row(ControlTables.CONTROL, ControlTables.ORDERS, ControlTables.LEASE, value, version);
    }

    private synchronized void setAway(boolean newAway) {
      away = newAway;
    }

    private static <T> CompletionStage<T> failed() {
      return CompletableFuture.failedFuture(
          new SycamoreException(
              ErrorCode.PLATFORM_UNAVAILABLE, ExecutionOutcome.UNKNOWN, "the store is away"));
    }

    @Override
    public synchronized CompletionStage<Page> scan(
        String table, String partition, String fromKey, int limit) {
      List<Row> rows = row == null ? List.of() : List.of(row);
      return away ? failed() : CompletableFuture.completedFuture(new Page(rows, version, false));
    }

    @Override
    public synchronized CompletionStage<WriteResult> commit(PartitionWrite write) {
      if (away) {
        return failed();
      }
      long expected = write.conditions().get(0).version();
      if (expected != (row == null ? 0 : row.version())) {
        return CompletableFuture.completedFuture(new WriteResult.Conflict(List.of(row)));
      }
      version++;
      byte[] value = write.puts().get(0).value();
      row =
          new Row(ControlTables.CONTROL, ControlTables.ORDERS, ControlTables.LEASE, value, version);
      return CompletableFuture.completedFuture(new WriteResult.Committed(version));
    }

    @Override
    public CompletionStage<Partitions> partitions(String table) {
      throw new UnsupportedOperationException("a lease reads one partition");
    }

    @Override
    public CompletionStage<Changes> changes(String table, long afterVersion, long waitMs) {
      throw new UnsupportedOperationException("a lease doesn't wait for changes");
    }
  }

  /** A process that may hold the lease. */
  private final class LeaseProcess {
    private final EventLoopGroup group = EventLoops.start("lease", 1);
    private final DutyLease lease;

    private LeaseProcess(String host, String incarnation) {
      groups.add(group);
      lease = new DutyLease(Duty.ORDERS, store, group.next(), host, incarnation);
      group
          .next()
          .execute(
              () -> {
                lease.setCandidate(true);
                lease.start();
              });
    }

    private boolean test(Predicate<DutyLease> property) {
      try {
        return group.next().submit(() -> property.test(lease)).get();
      } catch (ExecutionException | InterruptedException e) {
        throw new AssertionError(e);
      }
    }

    private void await(Predicate<DutyLease> property) {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
      while (!test(property)) {
        assertThat(System.nanoTime()).as("time to wait").isLessThan(endNanos);
        sleep(5);
      }
    }

    private void kill() {
      EventLoops.stop(group);
      groups.remove(group);
    }
  }

  @AfterEach
  void stop() {
    groups.forEach(EventLoops::stop);
  }

  private static void sleep(long durationMs) {
    try {
      TimeUnit.MILLISECONDS.sleep(durationMs);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static long elapsedMs(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static Lease.Row row(long epoch, String incarnation, boolean released) {
    return new Lease.Row(0, epoch, incarnation, 1, released);
  }

  /**
   * Guards against orders of two holders close to each other: a holder released the lease, and the
   * process that took it was restarted within its delay, which its successor skipped.
   */
  @ParameterizedTest
  @CsvSource({"0", "700"})
  void restartedProcessWaitsForTheRestOfTheDelay(long killedAfterMs) {
    long releasedNanos = System.nanoTime();
    store.set(row(5, "x-1", true), "x", 0);
    LeaseProcess first = new LeaseProcess("a", "a-1");
    first.await(DutyLease::isHeld);
    sleep(killedAfterMs);
    first.kill();

    LeaseProcess second = new LeaseProcess("a", "a-2");
    second.await(DutyLease::mayCall);

    assertThat(elapsedMs(releasedNanos)).isGreaterThanOrEqualTo(LEASE_MS);
  }

  @Test
  void restartedProcessReclaimsAtOnceAfterTheDelay() {
    store.set(row(5, "a-1", false), "a", 0);
    long startNanos = System.nanoTime();

    new LeaseProcess("a", "a-2").await(DutyLease::mayCall);

    assertThat(elapsedMs(startNanos)).isLessThan(LEASE_MS / 2);
  }

  /**
   * Guards against the delay of an earlier term: a holder that had no delay lost the store, another
   * one held and released the lease meanwhile, and the first one took it again without a delay.
   */
  @Test
  void formerHolderWaitsAfterATermOfAnotherHolder() {
    store.set(row(5, "a-1", false), "a", 0);
    LeaseProcess process = new LeaseProcess("a", "a-2");
    process.await(DutyLease::mayCall);
    store.setAway(true);
    process.await(lease -> !lease.isHeld());
    store.set(row(7, "x-1", true), "x", 0);
    long releasedNanos = System.nanoTime();
    store.setAway(false);

    process.await(lease -> lease.epoch() == 8);
    process.await(DutyLease::mayCall);

    assertThat(elapsedMs(releasedNanos)).isGreaterThanOrEqualTo(LEASE_MS);
  }
}
