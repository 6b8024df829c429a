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
import org.sycamoretrack.daemon.farend.FakeTableStore;
import org.sycamoretrack.daemon.farend.FakeTableStore.Fate;

/**
 * Runs three nodes that share a key range through random interleavings of claims, outcomes, table
 * faults, pauses, crashes and changes of view, and checks that no key runs twice and that no
 * recorded answer is forgotten.
 */
class ClaimRangePropertyTest {
  private static final int STEPS = 600;
  private static final int KEYS = 8;
  private static final Fate[] FATES = {
    Fate.DONE,
    Fate.DONE,
    Fate.DONE,
    Fate.DONE,
    Fate.ANSWER_LOST,
    Fate.NEVER_ARRIVES,
    Fate.LATE,
    Fate.REFUSED
  };

  /** One run. */
  private static final class Run {
    final Random random;
    final FakeTableStore tables = new FakeTableStore();
    final Map<String, Integer> runs = new HashMap<>();
    final Set<String> recorded = new HashSet<>();
    final List<ClaimNode> nodes = new ArrayList<>();
    final Set<ClaimNode> paused = new HashSet<>();
    int incarnation;
    long nowMs = 1_000;
    int runCount;

    Run(long seed) {
      random = new Random(seed);
      for (int i = 0; i < 3; i++) {
        nodes.add(start("n" + i));
      }
    }

    ClaimNode start(String nodeId) {
      return new ClaimNode(nodeId, ++incarnation, tables, () -> nowMs, runs);
    }

    ClaimNode anyNode() {
      return nodes.get(random.nextInt(nodes.size()));
    }

    String anyKey() {
      return "k" + random.nextInt(KEYS);
    }

    void step() {
      ClaimNode node = anyNode();
      switch (random.nextInt(20)) {
        case 0, 1, 2 -> node.claim(anyKey());
        case 3, 4, 5 -> finishCall(node);
        case 6 -> changeView(node);
        case 7 -> {
          if (!paused.remove(node)) {
            paused.add(node);
          }
        }
        case 8 -> node.table.runLate();
        case 9 -> {
          if (random.nextInt(4) == 0) {
            restart(node);
          }
        }
        case 10 -> nowMs += random.nextInt(10) == 0 ? 400 : 5;
        case 11, 12, 13 -> {
          if (!paused.contains(node)) {
            node.poll();
          }
        }
        default -> runCall(node);
      }
      check();
    }

    private void finishCall(ClaimNode node) {
      if (paused.contains(node) || node.running.isEmpty()) {
        return;
      }
      String key = node.running.iterator().next();
      switch (random.nextInt(6)) {
        case 0 -> node.release(key);
        case 1 -> node.leaveUnsettled(key);
        default -> node.settle(key).thenRun(() -> recorded.add(key));
      }
    }

    private void changeView(ClaimNode node) {
      node.wanted = random.nextBoolean();
      Set<String> alive = new HashSet<>(Set.of(node.nodeId));
      nodes.stream().filter(any -> random.nextBoolean()).forEach(any -> alive.add(any.nodeId));
      node.alive = alive;
    }

    private void restart(ClaimNode node) {
      List.copyOf(node.calls())
          .forEach(call -> node.table.run(call, random.nextBoolean() ? Fate.DONE : Fate.LATE));
      paused.remove(node);
      nodes.set(nodes.indexOf(node), start(node.nodeId));
      node.table.runLate();
    }

    private void runCall(ClaimNode node) {
      if (!node.calls().isEmpty()) {
        FakeTableStore.Call call = node.calls().get(random.nextInt(node.calls().size()));
        node.table.run(call, FATES[random.nextInt(FATES.length)]);
        if (!paused.contains(node)) {
          node.drainControl();
        }
      }
    }

    private void check() {
      runs.forEach((key, count) -> assertThat(count).as("runs of " + key).isBetween(0, 1));
    }

    private void settleDown() {
      for (int i = 0; i < 100; i++) {
        nowMs += 20;
        for (ClaimNode node : nodes) {
          node.poll();
          node.settleDown();
        }
      }
    }

    /**
     * Heals all faults: one node must get the range, and know every recorded answer. An owner that
     * was replaced while it had nothing to write notices so at its next write, which may refuse one
     * claim.
     */
    void heal() {
      for (ClaimNode node : nodes) {
        node.wanted = node == nodes.getFirst();
        node.alive = Set.of("n0", "n1", "n2");
        node.drainControl();
        node.table.runLate();
      }
      ClaimNode owner = nodes.getFirst();
      settleDown();
      CompletableFuture<ClaimDecision> first = owner.claim("first");
      settleDown();
      assertThat(first).isDone();
      assertThat(owner.range.isOwned())
          .as("owner after all faults: " + tables.rows(ClaimTable.RANGES, ""))
          .isTrue();
      CompletableFuture<ClaimDecision> fresh = owner.claim("fresh");
      owner.settleDown();
      assertThat(fresh).isCompletedWithValue(new ClaimDecision.Run());
      for (String key : recorded) {
        CompletableFuture<ClaimDecision> repeated = owner.claim(key);
        owner.settleDown();
        assertThat(repeated)
            .isCompletedWithValue(new ClaimDecision.Answered(ClaimNode.answer(key)));
      }
      check();
      runCount = runs.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  @Property(seed = "4711", tries = 400, shrinking = ShrinkingMode.OFF)
  void noKeyRunsTwiceAndNoRecordedAnswerIsForgotten(@ForAll long seed) {
    Run run = new Run(seed);
    for (int i = 0; i < STEPS; i++) {
      run.step();
    }
    run.heal();
    assertThat(run.runCount).isPositive();
  }
}
