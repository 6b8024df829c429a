package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.client.HttpTableStore;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.process.ControlAgent;
import org.sycamoretrack.daemon.process.LeaseService;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Claims on two nodes with real control threads and HTTP calls to the stand-in of the platform.
 * Guards against keys that run twice, stay claimed or lose their response at a handover or when
 * responses are lost.
 */
class ClaimServiceTest {
  private static final int KEYS = 200;
  private static final int POLL_MS = 20;

  private final EventLoopGroup group = EventLoops.start("claims", 2);
  private final PlatformStandin platform = PlatformStandin.builder().start();
  private final HttpClient client = new HttpClient(group, 1_000);
  private final AtomicReference<List<String>> alive = new AtomicReference<>(List.of("a", "b"));
  private Node first;
  private Node second;

  /** A node's control thread with its lease and claims. */
  private final class Node implements AutoCloseable {
    final ControlAgent control = new ControlAgent(1_024, SystemNanoClock.INSTANCE, new Random(1));
    final LeaseService lease;
    final ClaimService claims;

    Node(String nodeId) {
      TableStore table = new HttpTableStore(client, platform.address(), 1_000);
      String incarnation = nodeId + "/1";
      lease =
          new LeaseService(
              table,
              new LeaseService.Holder(nodeId, incarnation, "127.0.0.1:1", "svea-a"),
              LeaseTimings.DEFAULT,
              SystemNanoClock.INSTANCE,
              control::execute);
      claims =
          ClaimService.builder()
              .node(nodeId, incarnation)
              .table(table)
              .leaseHeld(lease::holds)
              .aliveNodeIds(alive::get)
              .control(control::execute)
              .clocks(
                  () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis)
              .build();
      control.start();
      control.scheduleAtFixedRate("lease", POLL_MS, 0, lease::poll);
      control.scheduleAtFixedRate("claims", POLL_MS, 0, claims::poll);
    }

    CompletableFuture<ClaimDecision> claim(String key) {
      return claims.claim(key, "f").toCompletableFuture();
    }

    @Override
    public void close() {
      control.close();
    }
  }

  @BeforeEach
  void start() {
    first = new Node("a");
    second = new Node("b");
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    platform.close();
    EventLoops.stop(group);
  }

  private static ClaimDecision get(CompletableFuture<ClaimDecision> claim) {
    return claim.orTimeout(20, TimeUnit.SECONDS).join();
  }

  private Node ownerOf(String key) {
    String owner = first.claims.ownerOf(key).orElseThrow();
    return owner.equals("a") ? first : second;
  }

  private static RecordedResponse response(String key) {
    return RecordedResponse.of(200, Map.of(), key.getBytes(StandardCharsets.UTF_8));
  }

  private List<CompletableFuture<ClaimDecision>> claimAllKeys() {
    List<CompletableFuture<ClaimDecision>> claims = new ArrayList<>();
    for (int i = 0; i < KEYS; i++) {
      claims.add(ownerOf("k" + i).claim("k" + i));
    }
    return claims;
  }

  /**
   * Waits until each node has computed the assignment of the ranges and begun to acquire its own.
   */
  private void awaitFirstPoll() {
    for (Node node : List.of(first, second)) {
      CompletableFuture<Void> polled = new CompletableFuture<>();
      node.control.execute(
          () -> {
            node.claims.poll();
            polled.complete(null);
          });
      polled.orTimeout(20, TimeUnit.SECONDS).join();
    }
  }

  private void runAllKeys() {
    awaitFirstPoll();
    assertThat(claimAllKeys()).allSatisfy(claim -> assertThat(get(claim)).isEqualTo(RUN));
    List<CompletableFuture<Void>> recorded = new ArrayList<>();
    for (int i = 0; i < KEYS; i++) {
      String key = "k" + i;
      recorded.add(ownerOf(key).claims.recordResponse(key, response(key)).toCompletableFuture());
    }
    recorded.forEach(future -> future.orTimeout(20, TimeUnit.SECONDS).join());
  }

  private static final ClaimDecision RUN = new ClaimDecision.Run();

  @Test
  void nodesShareTheKeysAndHandThemOver() {
    runAllKeys();
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    first.control.execute(() -> first.claims.stop().thenRun(() -> stopped.complete(null)));
    alive.set(List.of("b"));
    stopped.orTimeout(20, TimeUnit.SECONDS).join();
    for (int i = 0; i < KEYS; i++) {
      assertThat(get(second.claim("k" + i)))
          .isEqualTo(new ClaimDecision.Answered(response("k" + i)));
    }
  }

  @Test
  void lostTransactionResponsesRunNoKeyTwiceAndRefuseNone() {
    awaitFirstPoll();
    platform
        .faults()
        .add(Fault.builder(FaultKind.LOST_ANSWER).path("/transactions").share(0.3).build());
    runAllKeys();
    platform.faults().clear();
    for (int i = 0; i < KEYS; i++) {
      assertThat(get(ownerOf("k" + i).claim("k" + i)))
          .isEqualTo(new ClaimDecision.Answered(response("k" + i)));
    }
  }

  /**
   * A node that has left the membership acquires no range any more, so a claim sent there by a node
   * that does not know it yet must not wait until {@link ClaimTimes#maxWaitMs}.
   */
  @Test
  void claimAtANodeThatHasLeftIsRefusedAtOnce() {
    runAllKeys();
    alive.set(List.of("b"));
    assertThat(get(second.claim("late"))).isEqualTo(RUN);

    long startNs = System.nanoTime();
    ClaimDecision decision = get(first.claim("late"));

    assertThat(decision).isEqualTo(new ClaimDecision.Refused(ErrorCode.LEASE_LOST));
    assertThat(System.nanoTime() - startNs).isLessThan(TimeUnit.SECONDS.toNanos(1));
  }

  /**
   * A call that fails before it is sent must release its key; otherwise a retry would find it
   * unsettled.
   */
  @Test
  void callThatFailsBeforeItStartsReleasesItsKey() {
    awaitFirstPoll();
    KeyedCallRunner calls = new KeyedCallRunner(ownerOf("k").claims);
    KeyedCall failing =
        new KeyedCall(
            "k",
            "f",
            () -> {
              throw new SycamoreException(
                  ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "no such service");
            });
    assertThatThrownBy(() -> calls.run(failing).orTimeout(20, TimeUnit.SECONDS).join())
        .hasCauseInstanceOf(SycamoreException.class);
    HttpResponse response = new HttpResponse(200, Map.of(), new byte[0]);
    KeyedCall working = new KeyedCall("k", "f", () -> CompletableFuture.completedFuture(response));
    assertThat(calls.run(working).orTimeout(20, TimeUnit.SECONDS).join()).isEqualTo(response);
  }
}
