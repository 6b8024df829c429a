package org.sycamoretrack.daemon.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.Member;
import org.sycamoretrack.core.process.MemberState;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;
import org.sycamoretrack.core.version.ResourceKind;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.daemon.connection.PeerIdentity;
import org.sycamoretrack.daemon.connection.PeerLink;
import org.sycamoretrack.daemon.process.ControlAgent;
import org.sycamoretrack.daemon.process.MembershipService;
import org.sycamoretrack.transport.connection.EventLoops;

/**
 * Tests of {@link ConfigurationService} with real links between nodes and an in-memory table. They
 * guard against changes that are lost, take effect twice or are reverted, as may happen when
 * changes race, a response of the platform is lost, or a node cannot reach the platform or its
 * peers.
 */
class ConfigurationServiceTest {
  private static final long SEED = 7;
  private static final long TIMEOUT_S = 15;

  private final EventLoopGroup group = EventLoops.start("test", 2);
  private final InMemoryTable table = new InMemoryTable();
  private final List<Node> nodes = new ArrayList<>();

  @AfterEach
  void stop() {
    nodes.forEach(Node::close);
    EventLoops.stop(group);
  }

  /** A node with the services that the configuration depends on. */
  private final class Node implements AutoCloseable {
    final InMemoryTable.Client client = table.client();
    final ControlAgent control =
        new ControlAgent(1_024, SystemNanoClock.INSTANCE, new Random(SEED));
    final List<Long> applied = new ArrayList<>();
    final PeerLink link;
    final ConfigurationService service;

    Node(String nodeId, InMemoryTable.Fault fault, Node... seeds) {
      client.fault = fault;
      AtomicReference<PeerIdentity> identity = new AtomicReference<>();
      link =
          PeerLink.builder()
              .group(group)
              .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .identity(identity::get)
              .start();
      String address = "127.0.0.1:" + link.address().getPort();
      identity.set(new PeerIdentity(nodeId, "svea-a", "svealand", 1, address));
      MembershipService members =
          MembershipService.builder()
              .control(control)
              .link(link)
              .self(new Member(nodeId, "svea-a", "r", address, 1, 0, MemberState.ALIVE, 0))
              .seeds(List.of(seeds).stream().map(seed -> seed.link.address()).toList())
              .random(new Random(SEED))
              .build();
      service = new ConfigurationService(control, link, members::view, client, new Random(SEED));
      service.onChange(next -> applied.add(next.version()));
      service.onChange(next -> members.setConfigVersion(next.version()));
      control.start();
      members.start();
      service.start();
      nodes.add(this);
    }

    CompletableFuture<Configuration> put(String name, Precondition precondition) {
      return service.change(new Change.Put(pool(name), precondition)).toCompletableFuture();
    }

    Configuration join(CompletableFuture<Configuration> change) {
      return change.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
      link.close();
      control.close();
    }
  }

  private static Resource pool(String name) {
    return new Resource(
        name, Map.of(), 0, new ResourceSpec.PoolSpec(PoolType.MODEL, name, true, 0.5));
  }

  private static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as("the condition holds before the timeout")
          .isLessThan(deadlineNanos);
      Thread.onSpinWait();
    }
  }

  private void awaitVersion(long version) {
    await(() -> nodes.stream().allMatch(node -> node.service.current().version() == version));
  }

  private static SycamoreException failureOf(CompletableFuture<Configuration> change) {
    Throwable thrown = catchThrowable(() -> change.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join());
    assertThat(thrown).isInstanceOf(CompletionException.class);
    return (SycamoreException) thrown.getCause();
  }

  @Test
  void aChangeReachesNodesThatCannotReachThePlatform() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    new Node("b", InMemoryTable.Fault.REFUSED, a);
    new Node("c", InMemoryTable.Fault.REFUSED, a);
    await(() -> a.link.connectedPeers().size() == 2);

    assertThat(a.join(a.put("modellhall", new Precondition.Absent())).version()).isEqualTo(1);
    awaitVersion(1);
    a.join(
        a.service
            .change(
                new Change.Delete(
                    new ResourceKey(ResourceKind.POOLS, "modellhall"),
                    new Precondition.AtVersion(1)))
            .toCompletableFuture());

    awaitVersion(2);
    assertThat(nodes).allMatch(node -> node.service.current().pools().isEmpty());
    assertThat(table.size()).as("only the head row remains").isEqualTo(1);
  }

  @Test
  void onlyOneOfRacingConditionalChangesIsAccepted() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    Node b = new Node("b", InMemoryTable.Fault.NONE, a);
    a.join(a.put("modellhall", new Precondition.Any()));

    List<CompletableFuture<Configuration>> changes = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      changes.add(a.put("modellhall", new Precondition.AtVersion(1)));
      changes.add(b.put("modellhall", new Precondition.AtVersion(1)));
    }

    int accepted = 0;
    for (CompletableFuture<Configuration> change : changes) {
      Throwable thrown = catchThrowable(() -> a.join(change));
      if (thrown == null) {
        accepted++;
      } else {
        assertThat(thrown.getCause()).isInstanceOf(VersionConflictException.class);
        VersionConflictException conflict = (VersionConflictException) thrown.getCause();
        assertThat(conflict.current().orElseThrow().version()).isEqualTo(2);
      }
    }
    assertThat(accepted).isEqualTo(1);
    awaitVersion(2);
  }

  /**
   * A node without a link to others learns their changes from the table alone. Each of its reads is
   * outdated at once, as happens while another node makes a series of changes.
   */
  @ParameterizedTest
  @ValueSource(ints = {4, 12, 40})
  void aChangeIsAcceptedAfterASeriesOfChangesElsewhere(int changesElsewhere) {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    Node b = new Node("b", InMemoryTable.Fault.NONE);
    AtomicInteger reads = new AtomicInteger();
    a.client.afterRead =
        () -> {
          int read = reads.incrementAndGet();
          if (read <= changesElsewhere) {
            b.join(b.put("b-" + read, new Precondition.Any()));
          }
        };

    Configuration changed = a.join(a.put("modellhall", new Precondition.Any()));

    assertThat(changed.pools()).hasSize(changesElsewhere + 1);
    assertThat(changed.version()).isEqualTo(changesElsewhere + 1);
  }

  @Test
  void unconditionalChangesThatRaceAreAllAccepted() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    Node b = new Node("b", InMemoryTable.Fault.NONE, a);
    List<CompletableFuture<Configuration>> changes = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      changes.add(a.put("a-" + i, new Precondition.Any()));
      changes.add(b.put("b-" + i, new Precondition.Any()));
    }

    changes.forEach(a::join);

    awaitVersion(20);
    assertThat(nodes).allMatch(node -> node.service.current().pools().size() == 20);
    for (Node node : nodes) {
      assertThat(List.copyOf(node.applied)).isSorted().doesNotHaveDuplicates();
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"RESPONSE_LOST_ONCE", "REQUEST_LOST_ONCE"})
  void aChangeWhoseResponseIsLostTakesEffectOnce(InMemoryTable.Fault fault) {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    a.join(a.put("modellhall", new Precondition.Absent()));
    a.client.fault = fault;

    Configuration after = a.join(a.put("orderdisk", new Precondition.Absent()));

    assertThat(after.version()).isEqualTo(2);
    a.join(a.put("coach-lm", new Precondition.Absent()));
    assertThat(a.service.current().version()).isEqualTo(3);
    assertThat(a.service.current().pools()).containsOnlyKeys("coach-lm", "modellhall", "orderdisk");
  }

  @Test
  void aLostResponseIsResolvedAfterAConcurrentChange() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    Node b = new Node("b", InMemoryTable.Fault.NONE);
    a.client.fault = InMemoryTable.Fault.RESPONSE_LOST_ONCE;
    AtomicReference<CompletableFuture<Configuration>> second = new AtomicReference<>();
    a.client.beforeTransaction =
        () -> {
          if (a.client.fault == InMemoryTable.Fault.NONE && second.get() == null) {
            second.set(b.put("orderdisk", new Precondition.Absent()));
            second.get().orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
          }
        };

    a.join(a.put("modellhall", new Precondition.Absent()));

    assertThat(second.get()).isCompleted();
    assertThat(table.size()).as("the head row and two resources").isEqualTo(3);
  }

  @Test
  void changesAreRejectedAsNotRunWhileThePlatformIsUnavailable() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    a.join(a.put("modellhall", new Precondition.Absent()));
    a.client.fault = InMemoryTable.Fault.REFUSED;

    SycamoreException refusal = failureOf(a.put("orderdisk", new Precondition.Absent()));

    assertThat(refusal.code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
    assertThat(refusal.outcome()).isEqualTo(ExecutionOutcome.NOT_RUN);
    assertThat(a.service.current().pools()).containsOnlyKeys("modellhall");
  }

  @Test
  void aNewNodeLearnsFromAPeerWhileThePlatformIsUnavailable() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    a.join(a.put("modellhall", new Precondition.Absent()));
    a.client.fault = InMemoryTable.Fault.REFUSED;

    Node b = new Node("b", InMemoryTable.Fault.REFUSED, a);

    awaitVersion(1);
    assertThat(b.service.isLoaded()).isTrue();
  }

  @Test
  void anIsolatedNodeCatchesUpAndRevertsNoOther() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    a.join(a.put("modellhall", new Precondition.Absent()));
    Node isolated = new Node("b", InMemoryTable.Fault.NONE);
    await(() -> isolated.service.current().version() == 1);
    isolated.client.fault = InMemoryTable.Fault.REFUSED;
    for (int i = 0; i < 5; i++) {
      a.join(a.put("modellhall", new Precondition.Any()));
    }
    assertThat(isolated.service.current().version()).isEqualTo(1);

    isolated.link.dial(a.link.address());
    awaitVersion(6);

    assertThat(List.copyOf(a.applied)).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
  }

  @Test
  void aReferencedPoolCantBeRemoved() {
    Node a = new Node("a", InMemoryTable.Fault.NONE);
    a.join(a.put("modellhall", new Precondition.Absent()));
    Resource endpoint =
        new Resource(
            "m-1",
            Map.of(),
            0,
            new ResourceSpec.EndpointSpec("modellhall", "127.0.0.1", 80, "svea-a"));
    a.join(
        a.service.change(new Change.Put(endpoint, new Precondition.Any())).toCompletableFuture());

    SycamoreException refusal =
        failureOf(
            a.service
                .change(
                    new Change.Delete(
                        new ResourceKey(ResourceKind.POOLS, "modellhall"), new Precondition.Any()))
                .toCompletableFuture());

    assertThat(refusal.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
    assertThat(refusal).hasMessageContaining("endpoints/m-1");
  }
}
