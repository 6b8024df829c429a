package org.sycamoretrack.core.process.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.core.process.RendezvousHash;

/**
 * Detects failed nodes by their rows in the platform's table, and ranks the live ones for takeover.
 *
 * <p>A node rewrites its row periodically as a heartbeat. The version of the row is observed like
 * that of a lease: a node whose row kept one version for the full timeout, measured by the reads of
 * this process only, is dead. Clocks of different nodes are not compared. After a gap of more than
 * half the timeout between reads, the observation of all rows starts again, because the nodes may
 * have been unable to write during the gap.
 *
 * <p>A wrong decision does not affect correctness: everything that a node owns is protected by
 * conditional writes, so taking over from a live node only causes duplicate work.
 *
 * <p>Takeover order: for each orphan, that is an object owned by a dead node, all live nodes are
 * ranked by rendezvous hashing. The first one tries immediately, the others after a delay that
 * grows with their rank.
 */
public final class NodeTable {
  private long timeoutMs;
  private final Map<String, Watched> nodes = new HashMap<>();
  private long lastSentMs;

  /**
   * Creates an empty table.
   *
   * @param timeoutMs how long a live node's row may stay unchanged, in milliseconds
   */
  public NodeTable(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /**
   * Sets how long a live node's row may stay unchanged. What has been observed of the rows so far
   * still counts, so that a dead node is detected while the timeout changes with the number of
   * nodes. A longer timeout applies to all rows at once. A shorter one applies to a row from its
   * next version on, since its node may have written the current version at a longer interval.
   *
   * @param newTimeoutMs the timeout in milliseconds
   */
  public void setTimeoutMs(long newTimeoutMs) {
    timeoutMs = newTimeoutMs;
    nodes.values().forEach(watched -> watched.watch.extendDuration(timeoutMs));
  }

  /**
   * Handles the result of a read of all rows.
   *
   * @param rows the nodes with the versions of their rows
   * @param sentMs the monotonic time in milliseconds when the read was sent
   * @param receivedMs the monotonic time in milliseconds when its response was received
   */
  public void onRead(Map<NodeRecord, Long> rows, long sentMs, long receivedMs) {
    boolean paused = sentMs - lastSentMs > timeoutMs / 2;
    Map<String, Watched> previous = paused ? Map.of() : new HashMap<>(nodes);
    lastSentMs = sentMs;
    nodes.clear();
    rows.forEach(
        (node, version) -> {
          Watched watched = previous.get(node.nodeId());
          boolean unchanged = watched != null && watched.watch.version() == version;
          LeaseWatch watch = unchanged ? watched.watch : new LeaseWatch(timeoutMs);
          watch.onRead(version, sentMs, receivedMs);
          nodes.put(node.nodeId(), new Watched(node, watch));
        });
  }

  /** Returns the live nodes, ordered by id. */
  public List<NodeRecord> live() {
    List<NodeRecord> live = new ArrayList<>();
    nodes.values().stream()
        .filter(watched -> !watched.watch.isExpired())
        .forEach(watched -> live.add(watched.node));
    live.sort(Comparator.comparing(NodeRecord::nodeId));
    return live;
  }

  /**
   * Returns whether an incarnation of a node is alive and not leaving.
   *
   * @param nodeId the id of the node
   * @param incarnation the incarnation
   */
  public boolean isServing(String nodeId, String incarnation) {
    Watched watched = nodes.get(nodeId);
    return watched != null
        && !watched.watch.isExpired()
        && watched.node.incarnation().equals(incarnation)
        && !watched.node.leaving();
  }

  /**
   * Returns the rank of a node in the takeover order of an orphan.
   *
   * @param nodeId the id of the node
   * @param orphanId the id of the orphan
   * @return 0 for the first node; the number of candidates if the node is not a candidate
   */
  public int takeoverRank(String nodeId, String orphanId) {
    List<String> candidates =
        live().stream().filter(node -> !node.leaving()).map(NodeRecord::nodeId).toList();
    List<String> ranked = new ArrayList<>(candidates);
    ranked.sort(
        Comparator.comparingLong((String candidate) -> RendezvousHash.score(orphanId, candidate))
            .reversed());
    int rank = ranked.indexOf(nodeId);
    return rank < 0 ? ranked.size() : rank;
  }

  /** A node and the observation of its row. */
  private record Watched(NodeRecord node, LeaseWatch watch) {}
}
