package org.sycamoretrack.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.sycamoretrack.daemon.client.FakeTableStore;
import org.sycamoretrack.daemon.client.FakeTableStore.CallResult;

/**
 * Guards against a key that runs twice and against the loss of a recorded response. Three nodes
 * share a key range under random interleavings of claims, outcomes, table faults, pauses, crashes
 * and membership changes.
 */
class ClaimRangePropertyTest {
  private static final int STEPS = 600;
  private static final int KEYS = 8;
  private static final CallResult[] TABLE_CALL_RESULTS = {
    CallResult.DONE,
    CallResult.DONE,
    CallResult.DONE,
    CallResult.DONE,
    CallResult.RESPONSE_LOST,
    CallResult.NEVER_ARRIVES,
    CallResult.LATE,
    CallResult.REFUSED
  };

  /** The nodes, the table service and the schedule of one random run. */
  private static final class Scenario {
    final Random random;
    final FakeTableStore tables = new FakeTableStore();
    final Map<String, Integer> runCounts = new HashMap<>();
    final Set<String> recordedKeys = new HashSet<>();
    final List<ClaimTestNode> nodes = new ArrayList<>();
    final Set<ClaimTestNode> pausedNodes = new HashSet<>();
    int incarnation;
    long nowMs = 1_000;
    int totalRuns;

    Scenario(long seed) {
      random = new Random(seed);
      for (int i = 0; i < 3; i++) {
        nodes.add(start("n" + i));
      }
    }

    ClaimTestNode start(String nodeId) {
      return new ClaimTestNode(nodeId, ++incarnation, tables, () -> nowMs, runCounts);
    }

    ClaimTestNode anyNode() {
      return nodes.get(random.nextInt(nodes.size()));
    }

    String anyKey() {
      return "k" + random.nextInt(KEYS);
    }

    void step() {
      ClaimTestNode node = anyNode();
      switch (random.nextInt(20)) {
        case 0, 1, 2 -> node.claim(anyKey());
        case 3, 4, 5 -> finishCall(node);
        case 6 -> changeMembershipView(node);
        case 7 -> {
          if (!pausedNodes.remove(node)) {
            pausedNodes.add(node);
          }
        }
        case 8 -> node.table.applyLateCalls();
        case 9 -> {
          if (random.nextInt(4) == 0) {
            restart(node);
          }
        }
        case 10 -> nowMs += random.nextInt(10) == 0 ? 400 : 5;
        case 11, 12, 13 -> {
          if (!pausedNodes.contains(node)) {
            node.poll();
          }
        }
        default -> runTableCall(node);
      }
      checkRunCounts();
    }

    private void finishCall(ClaimTestNode node) {
      if (pausedNodes.contains(node) || node.runningKeys.isEmpty()) {
        return;
      }
      String key = node.runningKeys.iterator().next();
      switch (random.nextInt(6)) {
        case 0 -> node.release(key);
        case 1 -> node.markUnsettled(key);
        default -> node.recordResponse(key).thenRun(() -> recordedKeys.add(key));
      }
    }

    private void changeMembershipView(ClaimTestNode node) {
      node.assigned = random.nextBoolean();
      Set<String> alive = new HashSet<>(Set.of(node.nodeId));
      nodes.stream()
          .filter(other -> random.nextBoolean())
          .forEach(other -> alive.add(other.nodeId));
      node.alive = alive;
    }

    private void restart(ClaimTestNode node) {
      List.copyOf(node.pendingTableCalls())
          .forEach(
              call ->
                  node.table.complete(
                      call, random.nextBoolean() ? CallResult.DONE : CallResult.LATE));
      pausedNodes.remove(node);
      nodes.set(nodes.indexOf(node), start(node.nodeId));
      node.table.applyLateCalls();
    }

    private void runTableCall(ClaimTestNode node) {
      if (!node.pendingTableCalls().isEmpty()) {
        FakeTableStore.Call call =
            node.pendingTableCalls().get(random.nextInt(node.pendingTableCalls().size()));
        node.table.complete(call, TABLE_CALL_RESULTS[random.nextInt(TABLE_CALL_RESULTS.length)]);
        if (!pausedNodes.contains(node)) {
          node.runControlThread();
        }
      }
    }

    private void checkRunCounts() {
      runCounts.forEach((key, count) -> assertThat(count).as("runs of " + key).isBetween(0, 1));
    }

    private void runUntilIdle() {
      for (int i = 0; i < 100; i++) {
        nowMs += 20;
        for (ClaimTestNode node : nodes) {
          node.poll();
          node.runUntilIdle();
        }
      }
    }

    /**
     * Ends all faults and checks that one node acquires the range and returns every recorded
     * response. An owner that was replaced while it had nothing to write notices it only at its
     * next write, so the first claim may be refused.
     */
    void endFaultsAndVerify() {
      for (ClaimTestNode node : nodes) {
        node.assigned = node == nodes.getFirst();
        node.alive = Set.of("n0", "n1", "n2");
        node.runControlThread();
        node.table.applyLateCalls();
      }
      ClaimTestNode owner = nodes.getFirst();
      runUntilIdle();
      CompletableFuture<ClaimDecision> first = owner.claim("first");
      runUntilIdle();
      assertThat(first).isDone();
      assertThat(owner.range.isOwned())
          .as("owner after all faults: " + tables.rows(ClaimTable.RANGES, ""))
          .isTrue();
      CompletableFuture<ClaimDecision> fresh = owner.claim("fresh");
      owner.runUntilIdle();
      assertThat(fresh).isCompletedWithValue(new ClaimDecision.Run());
      for (String key : recordedKeys) {
        CompletableFuture<ClaimDecision> repeated = owner.claim(key);
        owner.runUntilIdle();
        assertThat(repeated)
            .isCompletedWithValue(new ClaimDecision.Answered(ClaimTestNode.response(key)));
      }
      checkRunCounts();
      totalRuns = runCounts.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  @Property(seed = "4711", tries = 400, shrinking = ShrinkingMode.OFF)
  void noKeyRunsTwiceAndNoRecordedResponseIsForgotten(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    for (int i = 0; i < STEPS; i++) {
      scenario.step();
    }
    scenario.endFaultsAndVerify();
    assertThat(scenario.totalRuns).isPositive();
  }
}
