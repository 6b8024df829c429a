package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.request.ClaimLimits;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.daemon.client.FakeTableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LeaseService;
import org.sycamoretrack.transport.process.Json;

/** One key range on one node. The test decides when its control thread and its table calls run. */
final class ClaimTestNode {
  static final ClaimTimes TIMES = new ClaimTimes(10, 1_000, 5, 500, 300);
  private static final ClaimLimits LIMITS = new ClaimLimits(100, 8, 3, 1_000, 1_000_000);

  final String nodeId;
  final FakeTableStore table;
  final ClaimRange range;
  final Set<String> runningKeys = new HashSet<>();
  private final Queue<Runnable> control = new ArrayDeque<>();
  private final Map<String, Integer> runCounts;
  Set<String> alive;
  boolean assigned;

  /**
   * Starts a new process of a node, which takes the node's lease.
   *
   * @param runCounts the number of runs of each key, over all nodes
   */
  ClaimTestNode(
      String nodeId,
      int incarnation,
      FakeTableStore tables,
      LongSupplier clockMs,
      Map<String, Integer> runCounts) {
    this.nodeId = nodeId;
    this.runCounts = runCounts;
    this.table = new FakeTableStore(tables);
    this.alive = Set.of(nodeId);
    ControlInbox inbox = new ControlInbox(control::add);
    ClaimService.Builder builder =
        ClaimService.builder()
            .node(nodeId, nodeId + "/" + incarnation)
            .aliveNodeIds(() -> alive)
            .clocks(clockMs, clockMs)
            .limits(TIMES, LIMITS);
    this.range = new ClaimRange("r-00", new ClaimContext(builder, inbox, table));
    takeLease(nodeId + "/" + incarnation);
  }

  private void takeLease(String writer) {
    JsonNode lease = Json.object().put("incarnation", writer).put("released", false);
    table.transact(
        Transaction.builder("lease")
            .put(LeaseService.TABLE, nodeId, Transaction.ANY, lease)
            .build());
    table.completeAll();
  }

  /** Claims a key. When the decision is to run the call, it is counted as a run. */
  CompletableFuture<ClaimDecision> claim(String key) {
    return claim(key, "fingerprint of " + key);
  }

  CompletableFuture<ClaimDecision> claim(String key, String fingerprint) {
    CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
    decision.thenAccept(
        decided -> {
          if (decided instanceof ClaimDecision.Run) {
            runCounts.merge(key, 1, Integer::sum);
            runningKeys.add(key);
          }
        });
    control.add(() -> range.claim(key, fingerprint, decision));
    return decision;
  }

  static RecordedResponse response(String key) {
    return RecordedResponse.of(200, Map.of("x", "y"), key.getBytes(StandardCharsets.UTF_8));
  }

  CompletableFuture<Void> recordResponse(String key) {
    runningKeys.remove(key);
    CompletableFuture<Void> recorded = new CompletableFuture<>();
    control.add(() -> range.recordResponse(key, response(key), recorded));
    return recorded;
  }

  /** Releases the key of a call that did not run, and takes back its count. */
  CompletableFuture<Void> release(String key) {
    runningKeys.remove(key);
    runCounts.merge(key, -1, Integer::sum);
    CompletableFuture<Void> recorded = new CompletableFuture<>();
    control.add(() -> range.release(key, recorded));
    return recorded;
  }

  void markUnsettled(String key) {
    runningKeys.remove(key);
    control.add(() -> range.markUnsettled(key));
  }

  void poll() {
    control.add(() -> range.poll(assigned, true));
    runControlThread();
  }

  void runControlThread() {
    Runnable command;
    while ((command = control.poll()) != null) {
      command.run();
    }
  }

  /** Runs the control thread and all table calls, without faults, until none are left. */
  void runUntilIdle() {
    runControlThread();
    while (!table.pendingCalls().isEmpty()) {
      table.completeAll();
      runControlThread();
    }
  }

  List<FakeTableStore.Call> pendingTableCalls() {
    return table.pendingCalls();
  }
}
