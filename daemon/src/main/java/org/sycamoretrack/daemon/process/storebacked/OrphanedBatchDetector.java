package org.sycamoretrack.daemon.process.storebacked;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.ownership.NodeTable;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;

/**
 * Detects open batches whose owner is gone and decides when this node should take one over.
 *
 * <p>All live nodes detect an orphaned batch at about the same time. The node that ranks first by
 * rendezvous hashing tries to take it over at once, and each further rank waits another {@value
 * #RANK_DELAY_MS} ms. So usually one node tries, and the others step in if it fails.
 *
 * <p>A node registers before it accepts a batch. An owner that is missing from the node table is
 * therefore gone only if the table was read after the owner's row was first seen; otherwise the
 * owner may be a node that has just started.
 *
 * <p>A batch may name this process as its owner although the process doesn't run it: it was
 * accepted by a write whose response was lost. Such a batch is taken over after {@value
 * #LOST_RESPONSE_DELAY_MS} ms.
 */
final class OrphanedBatchDetector {
  /** A takeover makes two store calls of some 10 ms each; a slow store takes a multiple of that. */
  private static final long RANK_DELAY_MS = 400;

  /** Longer than the acceptance of a batch that is still in progress may take. */
  private static final long LOST_RESPONSE_DELAY_MS = 2_500;

  private final String nodeId;
  private final String incarnation;
  private final NodeTable nodes;
  private final Consumer<Owner> takeOver;
  private final Map<Owner, Long> firstSeenAtMs = new HashMap<>();
  private final Map<Owner, Long> orphanedAtMs = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param nodeId the id of this node
   * @param incarnation identifies this process of the node
   * @param nodes the node table
   * @param takeOver called with the owner to replace; may be called again for the same batch
   */
  OrphanedBatchDetector(
      String nodeId, String incarnation, NodeTable nodes, Consumer<Owner> takeOver) {
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.nodes = nodes;
    this.takeOver = takeOver;
  }

  /**
   * Checks all owners.
   *
   * @param owners the owners by batch id
   * @param nodesReadAtMs the time at which the latest read of the node table was sent
   */
  void check(Map<String, Owner> owners, long nodesReadAtMs) {
    long nowMs = MonotonicClock.nowMs();
    orphanedAtMs.keySet().retainAll(owners.values());
    firstSeenAtMs.keySet().retainAll(owners.values());
    owners.forEach((batchId, owner) -> check(owner, nodesReadAtMs, nowMs));
  }

  private void check(Owner owner, long nodesReadAtMs, long nowMs) {
    long seenAtMs = firstSeenAtMs.computeIfAbsent(owner, key -> nowMs);
    boolean ownedByThisProcess = owner.incarnation().equals(incarnation);
    if (!ownedByThisProcess && nodes.isServing(owner.nodeId(), owner.incarnation())) {
      orphanedAtMs.remove(owner);
      return;
    }
    long orphanedSinceMs = orphanedAtMs.computeIfAbsent(owner, key -> nowMs);
    long delayMs =
        ownedByThisProcess
            ? LOST_RESPONSE_DELAY_MS
            : RANK_DELAY_MS * nodes.takeoverRank(nodeId, owner.batchId());
    if (nowMs - orphanedSinceMs >= delayMs && nodesReadAtMs > seenAtMs) {
      takeOver.accept(owner);
    }
  }
}
