package org.sycamoretrack.daemon.version.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.core.version.routing.RoutedService;
import org.sycamoretrack.core.version.routing.ScalingTerms;
import org.sycamoretrack.daemon.client.CapacityOrder;
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.DutyGrant;
import org.sycamoretrack.daemon.client.DutyOutcome;
import org.sycamoretrack.daemon.client.MemoryPartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.UsageReport;
import org.sycamoretrack.daemon.version.deployment.BatchOwners;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;
import org.sycamoretrack.transport.connection.EventLoops;

/** Tests of {@link CapacityService} over failures of holders, orders and the store. */
class CapacityServiceTest {
  private static final ScalingTerms TERMS =
      new ScalingTerms(0, 21, 4_000, 0.22, Map.of("za", 1.0, "zb", 1.1, "zc", 1.25));

  /** Calls of two holders within this time break the users' rule. */
  private static final long LEASE_MS = 3_000;

  private static final long TIMEOUT_MS = 20_000;

  private final MemoryPartitionedStore store = new MemoryPartitionedStore();
  private final List<EventLoopGroup> groups = new ArrayList<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Queue<CompletionStage<DutyOutcome>> responses = new ConcurrentLinkedQueue<>();
  private volatile int spotOfZc = 2;
  private volatile long endpointsAgeMs;

  /** An order, with the stored record at the time of the call. */
  private record Call(DutyGrant grant, CapacityOrder order, long atMs, String stored) {}

  private final class ControlService implements DutyClient {
    @Override
    public CompletionStage<DutyOutcome> reportUsage(DutyGrant grant, UsageReport report) {
      throw new UnsupportedOperationException("no usage is reported");
    }

    @Override
    public CompletionStage<DutyOutcome> orderCapacity(DutyGrant grant, CapacityOrder order) {
      Row row = store.row(ControlTables.CONTROL, "capacity", CapacityRows.key("s"));
      calls.add(
          new Call(
              grant,
              order,
              MonotonicClock.nowMs(),
              new String(row.value(), StandardCharsets.UTF_8)));
      CompletionStage<DutyOutcome> response = responses.poll();
      return response == null
          ? CompletableFuture.completedFuture(new DutyOutcome.Done())
          : response;
    }
  }

  private DeploymentView view() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (String zone : TERMS.zonePrices().keySet()) {
      for (int i = 0; i < 4; i++) {
        boolean spot = i < 2;
        if (!spot || !zone.equals("zc") || i < spotOfZc) {
          endpoints.add(
              new Endpoint(
                  zone + i,
                  "s",
                  InetSocketAddress.createUnresolved("10.0.0.1", 1),
                  zone,
                  8,
                  false,
                  1,
                  Map.of(),
                  spot,
                  false));
        }
      }
    }
    RoutedService service = new RoutedService("s", List.of(), Optional.of(TERMS));
    return new DeploymentView(
        Optional.of(new Manifest(1, List.of(), List.of(service), 1_000)),
        new Fleet(endpoints),
        Map.of(),
        WeightPlan.EMPTY,
        BatchOwners.NOT_READ);
  }

  private EventLoopGroup startNode(String nodeId) {
    EventLoopGroup group = EventLoops.start(nodeId, 1);
    groups.add(group);
    DutyLease lease =
        new DutyLease(Duty.CAPACITY, store, group.next(), nodeId + "@" + nodeId + ":1", nodeId);
    CapacityService service =
        new CapacityService(
            store,
            new ControlService(),
            lease,
            this::view,
            () -> endpointsAgeMs,
            new DemandTable(store, group.next(), (node, incarnation) -> true),
            group.next(),
            nodeId);
    group
        .next()
        .execute(
            () -> {
              lease.setCandidate(true);
              lease.start();
              service.start();
            });
    return group;
  }

  private void startObserved(String nodeId) {
    startNode(nodeId);
    await("the baseline is stored", this::isBaselineStored);
  }

  private boolean isBaselineStored() {
    return store.row(ControlTables.CONTROL, "capacity", CapacityRows.key("s")) != null;
  }

  private static void await(String what, BooleanSupplier condition) {
    long endMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      assertThat(MonotonicClock.nowMs()).as(what).isLessThan(endMs);
      pause(20);
    }
  }

  private static void pause(long timeMs) {
    try {
      TimeUnit.MILLISECONDS.sleep(timeMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static CapacityOrder spot(String zone, int number) {
    return new CapacityOrder("s", zone, number, true);
  }

  private List<CapacityOrder> orders() {
    return calls.stream().map(Call::order).toList();
  }

  @AfterEach
  void stop() {
    groups.forEach(group -> group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
  }

  /** Guards against an order that a new holder wouldn't know of. */
  @Test
  void ordersLostEndpointsAfterTheRecordIsStored() {
    startObserved("a");
    spotOfZc = 1;
    await("the order is sent", () -> !calls.isEmpty());

    assertThat(orders()).containsExactly(spot("za", 3));
    assertThat(calls.get(0).stored()).contains("UNCONFIRMED").contains("\"target\":3");
    assertThat(calls.get(0).grant().holder()).isEqualTo("a");
    pause(2_500);
    assertThat(calls).hasSize(1);
  }

  /**
   * Guards against a second order by the next holder when the holder is killed after its order and
   * before its outcome is stored: the same number is sent again, under a higher epoch.
   */
  @Test
  void nextHolderRepeatsTheOrderOfAKilledOneWithTheSameNumber() {
    startObserved("a");
    responses.add(new CompletableFuture<>());
    spotOfZc = 1;
    await("the order is sent", () -> !calls.isEmpty());
    groups.get(0).shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);

    startNode("b");
    await("the order is repeated", () -> calls.size() == 2);

    assertThat(orders()).containsExactly(spot("za", 3), spot("za", 3));
    assertThat(calls.get(1).grant().holder()).isEqualTo("b");
    assertThat(calls.get(1).grant().epoch()).isGreaterThan(calls.get(0).grant().epoch());
    assertThat(calls.get(1).atMs() - calls.get(0).atMs()).isGreaterThan(LEASE_MS);
    pause(2_500);
    assertThat(calls).hasSize(2);
  }

  /** Guards against waiting for the next pass when a zone has no endpoints. */
  @Test
  void triesAnotherZoneAtOnceAfterUnavailable() {
    startObserved("a");
    responses.add(CompletableFuture.completedFuture(new DutyOutcome.Unavailable()));
    spotOfZc = 1;
    await("two orders are sent", () -> calls.size() == 2);

    assertThat(orders()).containsExactly(spot("za", 3), spot("zb", 3));
    assertThat(calls.get(1).atMs() - calls.get(0).atMs()).isLessThan(500);
  }

  /** Guards against a lost order that is never repeated, and against one that is counted twice. */
  @Test
  void repeatsAnOrderWithoutAResponse() {
    startObserved("a");
    responses.add(CompletableFuture.completedFuture(new DutyOutcome.Unknown("lost")));
    responses.add(CompletableFuture.completedFuture(new DutyOutcome.Refused(503)));
    spotOfZc = 1;
    await("the order is repeated twice", () -> calls.size() == 3);

    assertThat(orders()).containsExactly(spot("za", 3), spot("za", 3), spot("za", 3));
    assertThat(calls.get(1).atMs() - calls.get(0).atMs()).isGreaterThanOrEqualTo(1_900);
  }

  /** Guards against orders by a holder whose endpoints are outdated. */
  @Test
  void ordersNothingFromOutdatedEndpoints() {
    startObserved("a");
    endpointsAgeMs = 3_001;
    spotOfZc = 0;
    pause(2_500);
    assertThat(calls).isEmpty();

    endpointsAgeMs = 0;
    await("the lost endpoints are ordered", () -> !calls.isEmpty());
  }

  /** Guards against orders that are sent without a record, and against a holder that stays mute. */
  @Test
  void ordersNothingWhileTheStoreIsAwayAndTheLostEndpointsAfterwards() {
    startObserved("a");
    store.setAway(true);
    pause(200);
    spotOfZc = 1;
    pause(2_500);
    assertThat(calls).isEmpty();

    store.setAway(false);
    await("the lost endpoint is ordered", () -> !calls.isEmpty());
    assertThat(orders()).containsExactly(spot("za", 3));
  }

  /** Guards against two nodes that order at the same time. */
  @Test
  void onlyOneOfTwoCandidatesOrders() {
    startNode("a");
    startNode("b");
    await("the baseline is stored", this::isBaselineStored);
    spotOfZc = 1;
    await("the order is sent", () -> !calls.isEmpty());
    pause(2_500);

    assertThat(calls).hasSize(1);
  }
}
