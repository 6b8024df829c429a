package org.sycamoretrack.standins.driver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Chooses the node that a client's next request goes to, as the platform's balancer does: in turn
 * among the nodes of the client's zone, else among all. A node that failed is passed over for a
 * while, unless no other is left. Thread-safe.
 */
public final class Balancer {
  private static final long AVOID_FAILED_NODE_MS = 1_000;

  private final Map<String, Long> failedAtNs = new HashMap<>();
  private List<NodeAddress> nodes = List.of();
  private int nextIndex;

  /** Creates a balancer without nodes. */
  public Balancer() {}

  /**
   * Replaces the nodes.
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
   * @throws IllegalStateException when there is none
   */
  public synchronized NodeAddress choose(String zone) {
    long nowNs = System.nanoTime();
    List<NodeAddress> usable = filter(nodes, node -> !failedRecently(node, nowNs));
    List<NodeAddress> near = filter(usable, node -> node.zone().equals(zone));
    List<NodeAddress> candidates = !near.isEmpty() ? near : !usable.isEmpty() ? usable : nodes;
    if (candidates.isEmpty()) {
      throw new IllegalStateException("the balancer has no node");
    }
    nextIndex++;
    return candidates.get(Math.floorMod(nextIndex, candidates.size()));
  }

  private static List<NodeAddress> filter(List<NodeAddress> all, Predicate<NodeAddress> predicate) {
    return all.stream().filter(predicate).toList();
  }

  private boolean failedRecently(NodeAddress node, long nowNs) {
    Long atNs = failedAtNs.get(node.nodeId());
    return atNs != null && nowNs - atNs < TimeUnit.MILLISECONDS.toNanos(AVOID_FAILED_NODE_MS);
  }

  /**
   * Notes that a node failed or refused.
   *
   * @param node the node
   */
  public synchronized void onFailure(NodeAddress node) {
    failedAtNs.put(node.nodeId(), System.nanoTime());
  }
}
