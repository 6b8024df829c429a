package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.connection.EndpointLoad;
import org.sycamoretrack.daemon.connection.EndpointLoadCodec;

/** The newest loads of endpoints that other nodes told. Thread-safe. */
public final class PeerLoads {
  private static final long MAX_AGE_MS = 10_000;

  private final Map<String, Map<Integer, ReportedLoad>> byNode = new ConcurrentHashMap<>();

  /** Creates an empty set of loads. */
  public PeerLoads() {}

  /**
   * A load with its time of arrival.
   *
   * @param load the load
   * @param asOfMs when it arrived, by the monotonic clock
   */
  record ReportedLoad(EndpointLoad load, long asOfMs) {}

  /**
   * Takes over the payload of a node's gossip.
   *
   * @param nodeId the node
   * @param payload its loads
   */
  public void onPayload(String nodeId, byte[] payload) {
    long nowMs = MonotonicClock.nowMs();
    List<EndpointLoad> loads = EndpointLoadCodec.decode(payload);
    Map<Integer, ReportedLoad> known = new ConcurrentHashMap<>();
    loads.forEach(load -> known.put(load.nameHash(), new ReportedLoad(load, nowMs)));
    byNode.put(nodeId, known);
  }

  /** Returns what a node told of an endpoint lately, null when it told nothing. */
  ReportedLoad find(String nodeId, String endpoint) {
    ReportedLoad known = byNode.getOrDefault(nodeId, Map.of()).get(endpoint.hashCode());
    long nowMs = MonotonicClock.nowMs();
    return known == null || nowMs - known.asOfMs() > MAX_AGE_MS ? null : known;
  }
}
