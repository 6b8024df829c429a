package org.sycamoretrack.standins.driver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Client-side round-robin load balancer that behaves like the platform's: it prefers nodes in the
 * client's zone and otherwise uses all nodes. A node that failed is avoided for {@value
 * #AVOID_FAILED_NODE_MS} ms unless no other node is left. Thread-safe.
 */
public final class Balancer {
  private static final long AVOID_FAILED_NODE_MS = 1_000;

  private final Map<String, Long> failedAtNs = new HashMap<>();
  private List<NodeAddress> nodes = List.of();
  private int nextIndex;

  /** Creates a balancer without nodes. */
  public Balancer() {}

  /**
   * Replaces the set of nodes.
   *
   * @param newNodes the nodes that are in service
   */
  public synchronized void setNodes(List<NodeAddress> newNodes) {
    nodes = List.copyOf(newNodes);
  }

  /** Returns the nodes. */
  public synchronized List<NodeAddress> nodes() {
    return nodes;
  }

  /**
   * Chooses a node.
   *
   * @param zone the client's zone, or null
   * @return the node
   * @throws IllegalStateException if there are no nodes
   */
  public synchronized NodeAddress choose(String zone) {
    long nowNs = System.nanoTime();
    List<NodeAddress> usable = filter(nodes, node -> !failedRecently(node, nowNs));
    List<NodeAddress> sameZone = filter(usable, node -> node.zone().equals(zone));
    List<NodeAddress> candidates =
        !sameZone.isEmpty() ? sameZone : !usable.isEmpty() ? usable : nodes;
    if (candidates.isEmpty()) {
      throw new IllegalStateException("the balancer has no nodes");
    }
    nextIndex++;
    return candidates.get(Math.floorMod(nextIndex, candidates.size()));
  }

  private static List<NodeAddress> filter(List<NodeAddress> all, Predicate<NodeAddress> predicate) {
    return all.stream().filter(predicate).toList();
  }

  private boolean failedRecently(NodeAddress node, long nowNs) {
    Long failureNs = failedAtNs.get(node.nodeId());
    return failureNs != null
        && nowNs - failureNs < TimeUnit.MILLISECONDS.toNanos(AVOID_FAILED_NODE_MS);
  }

  /**
   * Records that a node failed or rejected a request.
   *
   * @param node the failed node
   */
  public synchronized void onFailure(NodeAddress node) {
    failedAtNs.put(node.nodeId(), System.nanoTime());
  }
}
