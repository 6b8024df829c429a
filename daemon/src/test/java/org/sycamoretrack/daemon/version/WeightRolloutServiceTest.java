package org.sycamoretrack.daemon.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.core.version.RolloutTimings;
import org.sycamoretrack.daemon.client.WeightStore;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LeaseService;

/**
 * Tests of {@link WeightRolloutService} on a simulated clock. They guard against load commands of
 * two nodes to the same group, as may happen when the holder of the epoch is paused, restarted or
 * hands over, or when a response of the table service is lost.
 */
class WeightRolloutServiceTest {
  private static final int FIRST_PORT = 7_000;
  private static final int ENGINES = 4;
  private static final int TICK_MS = 50;
  private static final long LIMIT_MS = 300_000;
  private static final LeaseTimings LEASE = new LeaseTimings(10_000, 2_000, 3_000, 200);

  private final FakeTable table = new FakeTable();
  private final List<TestNode> nodes = new ArrayList<>();
  private FakeEngines engines = new FakeEngines(true, () -> clockMs());
  private boolean checksFence = true;
  private long nowMs = 1_000;
  private long latest = 2;

  private long clockMs() {
    return nowMs;
  }

  /** A node with its lease and its rollouts. It is polled only while it is not paused. */
  private final class TestNode implements RolloutContext {
    final LeaseService lease;
    final WeightRolloutService service;
    boolean ownsGroups = true;
    boolean monitorsAll = true;
    boolean paused;
    Runnable whilePlanning = () -> {};

    TestNode(String nodeId, String incarnation) {
      ControlInbox.ControlExecutor control =
          command -> {
            command.run();
            return true;
          };
      lease =
          new LeaseService(
              table,
              new LeaseService.Holder(nodeId, incarnation, "127.0.0.1:1", "svea-a"),
              LEASE,
              () -> TimeUnit.MILLISECONDS.toNanos(nowMs),
              control);
      service =
          WeightRolloutService.builder()
              .node(nodeId, NodeLease.of(lease))
              .platform(table, model -> CompletableFuture.completedFuture(versions()))
              .engines(engines)
              .context(this)
              .runtime(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), new Random(1), control)
              .timings(RolloutTimings.DEFAULT, LEASE.pauseMarginMs())
              .loadsPerSecond(4)
              .build();
      nodes.add(this);
    }

    private WeightStore.Versions versions() {
      return new WeightStore.Versions(latest, List.of(1L, latest));
    }

    @Override
    public Configuration configuration() {
      return config();
    }

    @Override
    public boolean owns(RolloutGroup group) {
      return ownsGroups;
    }

    @Override
    public boolean sendsWorkTo(String endpoint) {
      return monitorsAll;
    }

    @Override
    public boolean isInService(String endpoint) {
      return true;
    }

    @Override
    public int inFlight(String endpoint) {
      whilePlanning.run();
      return 0;
    }
  }

  private Configuration config() {
    List<Resource> resources = new ArrayList<>();
    resources.add(
        resource(
            "modellhall", new ResourceSpec.PoolSpec(PoolType.MODEL, "sampler", checksFence, 0.5)));
    for (int i = 0; i < ENGINES; i++) {
      resources.add(
          resource(
              "e" + i,
              new ResourceSpec.EndpointSpec("modellhall", "127.0.0.1", FIRST_PORT + i, "svea-a")));
    }
    return new Configuration(1, resources);
  }

  private static Resource resource(String name, ResourceSpec spec) {
    return new Resource(name, Map.of(), 1, spec);
  }

  private static Member member(String nodeId, String zone) {
    return new Member(nodeId, zone, "svealand", "127.0.0.1:1", 1, 1, MemberState.ALIVE, 1);
  }

  private void tick() {
    nowMs += TICK_MS;
    for (TestNode node : nodes) {
      if (!node.paused) {
        node.lease.poll();
        node.service.poll();
      }
    }
  }

  private void runUntil(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      tick();
      assertThat(nowMs).as("simulated time").isLessThan(LIMIT_MS);
    }
  }

  private void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    runUntil(() -> nowMs >= endMs);
  }

  private boolean allServe(long version) {
    for (int i = 0; i < ENGINES; i++) {
      if (engines.version(FIRST_PORT + i) != version) {
        return false;
      }
    }
    return true;
  }

  private List<FakeEngines.Accepted> loadCommandsOf(String nodeId) {
    return engines.accepted.stream()
        .filter(accepted -> accepted.command().nodeId().equals(nodeId))
        .toList();
  }

  private void start(boolean checks) {
    checksFence = checks;
    engines = new FakeEngines(checks, () -> nowMs);
  }

  @Test
  void bringsAllEnginesToTheNewestVersionAndReportsIt() {
    TestNode node = new TestNode("a", "a1");
    runUntil(() -> allServe(2));
    runFor(2_000);
    RolloutView view = node.service.view();
    assertThat(view.targetVersions()).containsEntry("modellhall", 2L);
    assertThat(view.endpoints().values())
        .hasSize(ENGINES)
        .allMatch(status -> status.verified() && status.servedVersion() == 2);
    assertThat(view.endpoints().keySet()).noneMatch(view::isOutOfService);
    assertThat(engines.accepted)
        .hasSize(ENGINES)
        .allMatch(accepted -> accepted.command().fence() == 1);
  }

  @Test
  void nodeThatDoesNotOwnTheGroupOnlyReads() {
    TestNode node = new TestNode("a", "a1");
    node.ownsGroups = false;
    runFor(10_000);
    assertThat(engines.accepted).isEmpty();
    assertThat(node.service.view().endpoints()).hasSize(ENGINES);
  }

  @Test
  void doesNotReadEnginesOfIrrelevantGroups() {
    TestNode node = new TestNode("a", "a1");
    runUntil(() -> allServe(2));
    node.ownsGroups = false;
    node.monitorsAll = false;
    runFor(3_000);
    assertThat(node.service.view().endpoints()).isEmpty();
    new TestNode("b", "b1");
    latest = 3;
    long handedOverAtMs = nowMs;
    runUntil(() -> allServe(3));
    assertThat(loadCommandsOf("b").getFirst().atMs() - handedOverAtMs)
        .as("takeover time; the epoch was released before the group was dropped")
        .isLessThan(2_000);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void pausedHolderSendsNoLoadCommandAfterItsLeaseExpired(boolean checks) {
    start(checks);
    TestNode previous = new TestNode("a", "a1");
    previous.ownsGroups = true;
    runUntil(() -> allServe(2));
    long lastPreviousCommandMs = loadCommandsOf("a").getLast().atMs();
    previous.paused = true;
    TestNode successor = new TestNode("b", "b1");
    long pausedAtMs = nowMs;
    latest = 3;
    runUntil(() -> allServe(3));
    assertThat(loadCommandsOf("b")).allMatch(accepted -> accepted.command().fence() == 2);
    long waitedMs = loadCommandsOf("b").getFirst().atMs() - pausedAtMs;
    long requiredMs = LEASE.takeOverAfterMs() + (checks ? 0 : LEASE.pauseMarginMs());
    assertThat(waitedMs).isGreaterThanOrEqualTo(requiredMs);
    latest = 4;
    successor.ownsGroups = false;
    previous.paused = false;
    previous.service.poll();
    assertThat(loadCommandsOf("a")).allMatch(accepted -> accepted.atMs() <= lastPreviousCommandMs);
    runUntil(() -> allServe(4));
    assertThat(loadCommandsOf("a").getLast().command().fence()).isEqualTo(3);
  }

  @Test
  void loadCommandIsDroppedWhenTheLeaseLapsesAfterPlanning() {
    start(false);
    TestNode node = new TestNode("a", "a1");
    runUntil(
        () ->
            !node.service.view().groups().isEmpty()
                && node.service.view().groups().get(0).epoch() > 0);
    engines.accepted.clear();
    latest = 3;
    node.whilePlanning = () -> nowMs += 4_000;
    runFor(60_000);
    assertThat(engines.accepted).isEmpty();
    node.whilePlanning = () -> {};
    runUntil(() -> allServe(3));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onlyOneOfTwoCandidatesSendsLoadCommands(boolean checks) {
    start(checks);
    new TestNode("a", "a1");
    new TestNode("b", "b1");
    for (long version = 2; version < 8; version++) {
      latest = version;
      long target = version;
      runUntil(() -> allServe(target));
      runFor(5_000);
    }
    assertThat(engines.accepted)
        .extracting(accepted -> accepted.command().nodeId())
        .containsOnly("a");
    assertThat(engines.accepted).hasSize(6 * ENGINES);
  }

  @Test
  void handsOverWithoutWaitingForTheLeaseWhenEnginesCheckFences() {
    TestNode first = new TestNode("a", "a1");
    TestNode second = new TestNode("b", "b1");
    second.ownsGroups = false;
    runUntil(() -> allServe(2));
    runFor(1_000);
    first.ownsGroups = false;
    second.ownsGroups = true;
    latest = 3;
    long handedOverAtMs = nowMs;
    runUntil(() -> allServe(3));
    assertThat(loadCommandsOf("b"))
        .hasSize(ENGINES)
        .allMatch(accepted -> accepted.command().fence() == 2);
    assertThat(loadCommandsOf("b").getFirst().atMs() - handedOverAtMs).isLessThan(2_000);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void gracefulStopLetsAnotherNodeTakeOverAtOnce(boolean checks) {
    start(checks);
    TestNode first = new TestNode("a", "a1");
    TestNode second = new TestNode("b", "b1");
    second.ownsGroups = false;
    runUntil(() -> allServe(2));
    first.ownsGroups = false;
    second.ownsGroups = true;
    first.lease.release();
    latest = 3;
    long stoppedAtMs = nowMs;
    runUntil(() -> allServe(3));
    long marginMs = checks ? 0 : LEASE.pauseMarginMs();
    assertThat(loadCommandsOf("b").getFirst().atMs() - stoppedAtMs)
        .isBetween(marginMs, marginMs + 2_000);
  }

  @ParameterizedTest
  @CsvSource({"svea-a, true", "svea-c, false"})
  void groupIsOwnedInItsZoneWhileAnyNodeIsAliveThere(String zone, boolean local) {
    Member self = member("a", "svea-a");
    MembershipView view = new MembershipView(self, List.of(member("b", "svea-b")));
    RolloutGroup group = new RolloutGroup("modellhall", zone);
    long owners =
        Stream.of("a", "b").filter(id -> WeightRolloutService.owns(group, view, id)).count();
    assertThat(owners).isEqualTo(1);
    if (local) {
      assertThat(WeightRolloutService.owns(group, view, "a")).isTrue();
    }
  }

  @Test
  void restartedNodeTakesItsGroupAgainWithAHigherEpoch() {
    TestNode before = new TestNode("a", "a1");
    runUntil(() -> allServe(2));
    before.paused = true;
    latest = 3;
    new TestNode("a", "a2");
    runUntil(() -> allServe(3));
    assertThat(engines.accepted.getLast().command().fence()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"1", "2", "3", "4"})
  void toleratesResponsesLostAfterTheWriteTookEffect(int lostResponses) {
    table.responsesToLose = lostResponses;
    new TestNode("a", "a1");
    runUntil(() -> allServe(2));
    assertThat(engines.accepted).hasSize(ENGINES);
  }

  @Test
  void epochExceedsFencesThatEnginesHaveSeen() {
    engines.setFence(FIRST_PORT + 2, 40);
    new TestNode("a", "a1");
    runUntil(() -> allServe(2));
    assertThat(engines.accepted.getLast().command().fence()).isEqualTo(41);
  }
}
