package org.sycamoretrack.daemon.version.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.capacity.BatchWork;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.daemon.client.MemoryPartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.transport.connection.EventLoops;

/** Tests of {@link DemandPublisher} and {@link DemandTable} on one store. */
class DemandTableTest {
  private static final long TIMEOUT_MS = 10_000;

  private final MemoryPartitionedStore store = new MemoryPartitionedStore();
  private final EventLoopGroup group = EventLoops.start("demand", 1);
  private volatile Map<String, ServiceDemand> measured = Map.of();
  private volatile String servingIncarnation = "a-1";

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static Map<String, ServiceDemand> demand(double tokens, long dueInMs) {
    return Map.of(
        "s",
        new ServiceDemand(
            8,
            400,
            List.of(new BatchWork(tokens, dueInMs), new BatchWork(50, BatchWork.NO_DEADLINE)),
            Map.of("m", 700.0)));
  }

  private Row row() {
    return store.row(DemandRows.TABLE, DemandRows.PARTITION, "a");
  }

  private static void await(java.util.function.BooleanSupplier condition) throws Exception {
    long endMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      assertThat(MonotonicClock.nowMs()).isLessThan(endMs);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** Guards against writes without a change, rows that stay, and demand of processes that ended. */
  @Test
  void publishesChangesOfATenthAndReadsThoseOfServingNodes() throws Exception {
    new DemandPublisher(
            store,
            group.next(),
            "a",
            "a-1",
            () -> CompletableFuture.completedFuture(measured),
            () -> 1)
        .start();
    DemandTable table =
        new DemandTable(
            store,
            group.next(),
            (node, incarnation) -> node.equals("a") && incarnation.equals(servingIncarnation));
    TimeUnit.MILLISECONDS.sleep(1_500);
    assertThat(row()).isNull();

    measured = demand(10_000, 7_000);
    await(() -> row() != null);
    long version = row().version();
    measured = demand(9_100, 6_000);
    TimeUnit.MILLISECONDS.sleep(2_500);
    assertThat(row().version()).isEqualTo(version);
    measured = demand(8_000, 5_000);
    await(() -> row().version() > version);

    assertThat(table.ageMs()).isEqualTo(Long.MAX_VALUE);
    group.next().submit(table::poll).get();
    await(() -> table.ageMs() < TIMEOUT_MS);
    TimeUnit.MILLISECONDS.sleep(300);
    ServiceDemand read = table.demand("s");
    assertThat(read.work().get(0).tokens()).isEqualTo(8_000);
    assertThat(read.work().get(0).dueInMs()).isBetween(0L, 4_700L);
    assertThat(read.work().get(1).dueInMs()).isEqualTo(BatchWork.NO_DEADLINE);
    assertThat(read.tokensPerSlotSecond()).isEqualTo(400);
    assertThat(read.modelTokensPerSecond()).isEqualTo(Map.of("m", 700.0));
    servingIncarnation = "a-2";
    assertThat(table.demand("s").isEmpty()).isTrue();

    measured = Map.of();
    await(() -> row() == null);
  }
}
