package org.sycamoretrack.daemon.process.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeTable;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;

/**
 * Finds open batches whose owner is gone and says when this node should take one over.
 *
 * <p>All live nodes see an orphan at about the same time. The first one by rendezvous hash tries at
 * once, each further one {@value #RANK_DELAY_MS} ms later, so that mostly one tries and any of them
 * does in the end.
 *
 * <p>A node registers before it accepts a batch. So an owner that the table of nodes doesn't show
 * is gone only when the table was read after the owner's row was seen; before, it may be a node
 * that has just started.
 *
 * <p>A batch that names this run of this node, though it isn't run here, was accepted by a write
 * whose answer was lost; it is taken up after {@value #LOST_RESPONSE_DELAY_MS} ms.
 */
final class OrphanedBatchDetector {
  /** A takeover takes two calls of the store, some 10 ms each; slow stores need a multiple. */
  private static final long RANK_DELAY_MS = 400;

  /** Longer than an acceptance that is still under way takes. */
  private static final long LOST_RESPONSE_DELAY_MS = 2_500;

  private final String nodeId;
  private final String incarnation;
  private final NodeTable nodes;
  private final Consumer<Owner> takeOver;
  private final Map<Owner, Long> firstSeenAtMs = new HashMap<>();
  private final Map<Owner, Long> orphanedAtMs = new HashMap<>();

  /**
   * Creates a watch.
   *
   * @param nodeId this node
   * @param incarnation this run of its process
   * @param nodes the nodes that live
   * @param takeOver called with the dead owner; may be called again for the same batch
   */
  OrphanedBatchDetector(
      String nodeId, String incarnation, NodeTable nodes, Consumer<Owner> takeOver) {
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.nodes = nodes;
    this.takeOver = takeOver;
  }

  /**
   * Looks at all owners.
   *
   * @param owners the owners by batch
   * @param nodesReadAtMs when the read was sent that the nodes are known from
   */
  void check(Map<String, Owner> owners, long nodesReadAtMs) {
    long nowMs = MonotonicClock.nowMs();
    orphanedAtMs.keySet().retainAll(owners.values());
    firstSeenAtMs.keySet().retainAll(owners.values());
    owners.forEach((batchId, owner) -> check(owner, nodesReadAtMs, nowMs));
  }

  private void check(Owner owner, long nodesReadAtMs, long nowMs) {
    long seenAtMs = firstSeenAtMs.computeIfAbsent(owner, any -> nowMs);
    boolean mine = owner.incarnation().equals(incarnation);
    if (!mine && nodes.isServing(owner.nodeId(), owner.incarnation())) {
      orphanedAtMs.remove(owner);
      return;
    }
    long sinceMs = orphanedAtMs.computeIfAbsent(owner, any -> nowMs);
    long delayMs =
        mine ? LOST_RESPONSE_DELAY_MS : RANK_DELAY_MS * nodes.takeoverRank(nodeId, owner.batchId());
    if (nowMs - sinceMs >= delayMs && nodesReadAtMs > seenAtMs) {
      takeOver.accept(owner);
    }
  }
}
