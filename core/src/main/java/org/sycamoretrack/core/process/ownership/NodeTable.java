package org.sycamoretrack.core.process.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.core.process.RendezvousHash;

/**
 * Tells which nodes live, from their rows in the platform's table.
 *
 * <p>A node rewrites its row at an interval. Its row's version is watched as that of a lease: a
 * node whose row had one version for the whole timeout, counted in reads of this process only, is
 * dead. No clocks are compared. A pause of more than half the timeout without reads proves nothing,
 * since the nodes may have been unable to write as long: all rows are watched anew then.
 *
 * <p>Being wrong does no harm to correctness: what a node owns is guarded by conditional writes, so
 * taking over from a live node costs repeated work and nothing else.
 *
 * <p>Order of takeover: all live nodes are ranked for each orphan by rendezvous hash; the first one
 * tries at once, the others only after a delay that grows with their rank.
 */
public final class NodeTable {
  private long timeoutMs;
  private final Map<String, Watched> nodes = new HashMap<>();
  private long lastSentMs;

  /**
   * Creates an empty table.
   *
   * @param timeoutMs for how long a live node's row may stay unchanged, in milliseconds
   */
  public NodeTable(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /**
   * Sets for how long a live node's row may stay unchanged. A change begins all watches anew.
   *
   * @param newTimeoutMs the time in milliseconds
   */
  public void setTimeoutMs(long newTimeoutMs) {
    if (newTimeoutMs != timeoutMs) {
      timeoutMs = newTimeoutMs;
      nodes.replaceAll((id, watched) -> new Watched(watched.node, new LeaseWatch(timeoutMs)));
    }
  }

  /**
   * Takes the rows of one read.
   *
   * @param rows the version of each node's row
   * @param sentMs the monotonic time in milliseconds when the read was sent
   * @param answeredMs the monotonic time in milliseconds when it was answered
   */
  public void onRead(Map<NodeRecord, Long> rows, long sentMs, long answeredMs) {
    boolean paused = sentMs - lastSentMs > timeoutMs / 2;
    Map<String, Watched> previous = paused ? Map.of() : new HashMap<>(nodes);
    lastSentMs = sentMs;
    nodes.clear();
    rows.forEach(
        (node, version) -> {
          Watched watched = previous.get(node.nodeId());
          LeaseWatch watch = watched == null ? new LeaseWatch(timeoutMs) : watched.watch;
          watch.onSeen(version, sentMs, answeredMs);
          nodes.put(node.nodeId(), new Watched(node, watch));
        });
  }

  /** Returns the nodes that live, by id. */
  public List<NodeRecord> live() {
    List<NodeRecord> live = new ArrayList<>();
    nodes.values().stream()
        .filter(watched -> !watched.watch.isExpired())
        .forEach(watched -> live.add(watched.node));
    live.sort(Comparator.comparing(NodeRecord::nodeId));
    return live;
  }

  /**
   * Returns whether a run of a node's process lives and stays.
   *
   * @param nodeId the node
   * @param incarnation the run
   */
  public boolean isServing(String nodeId, String incarnation) {
    Watched watched = nodes.get(nodeId);
    return watched != null
        && !watched.watch.isExpired()
        && watched.node.incarnation().equals(incarnation)
        && !watched.node.leaving();
  }

  /**
   * Returns the place of a node in the order of takeover for one orphan.
   *
   * @param nodeId the node
   * @param orphanId names what is taken over
   * @return 0 for the first; the number of candidates when the node is none
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

  /** A node with the watch of its row. */
  private record Watched(NodeRecord node, LeaseWatch watch) {}
}
