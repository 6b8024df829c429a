package org.sycamoretrack.daemon.process.storebacked;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.process.ownership.NodeTable;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;

/** Tests of {@link OrphanedBatchDetector}. */
class OrphanedBatchDetectorTest {
  private final NodeTable nodes = new NodeTable(60_000);
  private final List<Owner> takenOver = new ArrayList<>();
  private final OrphanedBatchDetector detector =
      new OrphanedBatchDetector("a", "a-run", nodes, takenOver::add);

  private static NodeRecord node(String id, String incarnation) {
    return new NodeRecord(id, incarnation, "z", "", 0, false);
  }

  private void read(NodeRecord... live) {
    long version = 1;
    var rows = new java.util.HashMap<NodeRecord, Long>();
    for (NodeRecord node : live) {
      rows.put(node, version++);
    }
    nodes.onRead(rows, 0, 0);
  }

  private void check(Owner owner, long nodesReadAtMs) {
    detector.check(Map.of(owner.batchId(), owner), nodesReadAtMs);
  }

  @Test
  void takesOverFromAnEarlierRunOfANode() {
    read(node("a", "a-run"), node("b", "b-2"));
    Owner orphaned = orphanRankedFirst("b", "b-1");
    check(orphaned, MonotonicClock.nowMs());
    check(orphaned, MonotonicClock.nowMs() + 1);

    assertThat(takenOver).contains(orphaned);
  }

  /** Returns a batch for which this node ranks first. */
  private Owner orphanRankedFirst(String nodeId, String incarnation) {
    int number = 0;
    while (nodes.takeoverRank("a", "batch-" + number) != 0) {
      number++;
    }
    return new Owner("batch-" + number, nodeId, incarnation, 7);
  }

  /**
   * Guards against taking over a batch from a live owner: after all nodes were killed, b restarts
   * and accepts a batch before a has read b's new row in the node table.
   */
  @Test
  void ownerThatJustStartedIsNotAnOrphan() {
    read(node("a", "a-run"), node("b", "b-1"));
    long readAtMs = MonotonicClock.nowMs() - 100;
    Owner started = orphanRankedFirst("b", "b-2");

    check(started, readAtMs);
    check(started, readAtMs);
    assertThat(takenOver).as("node table was read before the owner was first seen").isEmpty();

    read(node("a", "a-run"), node("b", "b-2"));
    check(started, MonotonicClock.nowMs() + 1);
    assertThat(takenOver).isEmpty();
  }

  @Test
  void leavesTheBatchesOfLiveNodes() {
    read(node("a", "a-run"), node("b", "b-1"));
    Owner owner = new Owner("batch-1", "b", "b-1", 7);
    check(owner, MonotonicClock.nowMs() + 1);
    check(owner, MonotonicClock.nowMs() + 1);

    assertThat(takenOver).isEmpty();
  }
}
