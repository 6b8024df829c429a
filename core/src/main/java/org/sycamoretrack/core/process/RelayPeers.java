package org.sycamoretrack.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the peers through which calls are relayed to a remote service that this node can't reach.
 *
 * <p>Nodes of one zone often lose a service together, and a zone that is cut off reaches only its
 * own nodes. The selected peers are therefore of different zones, the own zone among them. A peer
 * that can't reach the service either is left out for {@value #UNAVAILABLE_MS} ms and replaced by
 * the one that was least recently found unavailable. At most one is replaced in {@value
 * #REPLACEMENT_INTERVAL_MS} ms, and at most {@value #MAX_CANDIDATES} are considered, so that nodes
 * don't all dial each other while the service is down for everyone.
 *
 * <p>A node that relays calls needs processor time for each of them. {@link #preferenceOrder} gives
 * each node an order of its own, so that the calls of a third of a hundred nodes are spread over
 * the others. With a common order, the first peer of each zone would relay for all of them.
 *
 * <p>Example: for a node in zone a and the peers a1, a2, b1, b2, c1, the selection is a1, b1, c1.
 * When b1 reports that it can't reach the service, it becomes a1, c1, a2.
 *
 * <p>Thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class RelayPeers {
  private static final long UNAVAILABLE_MS = 3_000;

  /**
   * Three nodes of each of three zones; one of them reaches a service that serves a part of all.
   */
  private static final int MAX_CANDIDATES = 9;

  private static final long REPLACEMENT_INTERVAL_MS = 500;

  /** Longer than the interval between two replacements of peers that were heard once. */
  private static final long HEARD_VALID_MS = 1_500;

  private final String zone;
  private final int maxPeers;
  private final Map<String, Long> unavailableUntilMs = new HashMap<>();
  private final Set<String> selected = new HashSet<>();
  private List<Peer> candidates = List.of();
  private long nextReplacementMs;
  private long otherZoneHeardAtMs = Long.MIN_VALUE / 2;

  /**
   * A peer.
   *
   * @param nodeId its node id
   * @param zone its zone
   * @param address its address
   */
  public record Peer(String nodeId, String zone, String address) {}

  /**
   * Creates an instance without peers.
   *
   * @param zone the zone of this node
   * @param maxPeers the largest number of selected peers
   */
  public RelayPeers(String zone, int maxPeers) {
    this.zone = zone;
    this.maxPeers = maxPeers;
  }

  /**
   * Orders the peers of a node by rendezvous hashing, so that different nodes prefer different
   * peers and a node keeps its preference while others come and go.
   *
   * @param nodeId the node that needs peers
   * @param peers the peers
   */
  public static List<Peer> preferenceOrder(String nodeId, Collection<Peer> peers) {
    Map<String, Long> scores = new HashMap<>();
    peers.forEach(peer -> scores.put(peer.nodeId(), RendezvousHash.score(nodeId, peer.nodeId())));
    return peers.stream()
        .sorted(
            Comparator.comparing((Peer peer) -> scores.get(peer.nodeId()))
                .thenComparing(Peer::nodeId))
        .toList();
  }

  /**
   * Sets the peers.
   *
   * @param peers the live peers; those of a zone in the order of preference
   */
  public synchronized void update(List<Peer> peers) {
    candidates = interleaveZones(peers).stream().limit(MAX_CANDIDATES).toList();
    Set<String> ids = new HashSet<>();
    candidates.forEach(peer -> ids.add(peer.nodeId()));
    unavailableUntilMs.keySet().retainAll(ids);
    selected.retainAll(ids);
  }

  /** Orders peers so that each zone, the own one first, has one before any zone has the next. */
  private List<Peer> interleaveZones(List<Peer> peers) {
    Map<String, List<Peer>> byZone = new LinkedHashMap<>();
    peers.stream()
        .sorted(
            Comparator.comparing((Peer peer) -> !peer.zone().equals(zone))
                .thenComparing(Peer::zone))
        .forEach(peer -> byZone.computeIfAbsent(peer.zone(), any -> new ArrayList<>()).add(peer));
    List<Peer> ordered = new ArrayList<>();
    for (int rank = 0; ordered.size() < peers.size(); rank++) {
      for (List<Peer> ofZone : byZone.values()) {
        if (rank < ofZone.size()) {
          ordered.add(ofZone.get(rank));
        }
      }
    }
    return ordered;
  }

  /** Returns whether any peer is in another zone. */
  public synchronized boolean hasOtherZones() {
    return candidates.stream().anyMatch(this::isInOtherZone);
  }

  private boolean isInOtherZone(Peer peer) {
    return !peer.zone().equals(zone);
  }

  /**
   * Records that a peer is reachable, whether or not it reaches the service.
   *
   * @param nodeId the peer
   * @param nowMs the current time
   */
  public synchronized void onHeard(String nodeId, long nowMs) {
    if (candidates.stream().anyMatch(peer -> peer.nodeId().equals(nodeId) && isInOtherZone(peer))) {
      otherZoneHeardAtMs = nowMs;
    }
  }

  /**
   * Returns whether a peer of another zone was heard from within {@value #HEARD_VALID_MS} ms.
   *
   * @param nowMs the current time
   */
  public synchronized boolean isOtherZoneHeard(long nowMs) {
    return nowMs - otherZoneHeardAtMs < HEARD_VALID_MS;
  }

  /**
   * Returns the selected peers in the order of preference.
   *
   * @param nowMs the current time
   */
  public synchronized List<Peer> select(long nowMs) {
    selected.removeIf(id -> isUnavailable(id, nowMs));
    boolean first = unavailableUntilMs.isEmpty();
    List<Peer> leastRecentlyUnavailable =
        candidates.stream().sorted(Comparator.comparingLong(this::unavailableUntilMs)).toList();
    for (Peer peer : leastRecentlyUnavailable) {
      boolean eligible = !selected.contains(peer.nodeId()) && !isUnavailable(peer.nodeId(), nowMs);
      if (eligible && selected.size() < maxPeers && (first || nowMs >= nextReplacementMs)) {
        selected.add(peer.nodeId());
        nextReplacementMs = first ? nextReplacementMs : nowMs + REPLACEMENT_INTERVAL_MS;
      }
    }
    return candidates.stream().filter(peer -> selected.contains(peer.nodeId())).toList();
  }

  private boolean isUnavailable(String nodeId, long nowMs) {
    return unavailableUntilMs.getOrDefault(nodeId, Long.MIN_VALUE) > nowMs;
  }

  private long unavailableUntilMs(Peer peer) {
    return unavailableUntilMs.getOrDefault(peer.nodeId(), Long.MIN_VALUE);
  }

  /**
   * Records that a peer can't reach the service or doesn't reply.
   *
   * @param nodeId the peer
   * @param nowMs the current time
   */
  public synchronized void onUnavailable(String nodeId, long nowMs) {
    unavailableUntilMs.put(nodeId, nowMs + UNAVAILABLE_MS);
  }

  /**
   * Records that a peer has relayed a call.
   *
   * @param nodeId the peer
   */
  public synchronized void onAvailable(String nodeId) {
    unavailableUntilMs.remove(nodeId);
  }

  /** Forgets what was recorded, since this node reaches the service again. */
  public synchronized void reset() {
    unavailableUntilMs.clear();
    selected.clear();
  }
}
