package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.connection.EndpointLoad;
import org.sycamoretrack.daemon.connection.EndpointLoadCodec;

/** The latest endpoint loads that other nodes reported by gossip. Thread-safe. */
public final class PeerLoads {
  private static final long MAX_AGE_MS = 10_000;

  private final Map<String, Map<Integer, ReportedLoad>> byNode = new ConcurrentHashMap<>();

  /** Creates an empty set of loads. */
  public PeerLoads() {}

  /**
   * A reported load with its time of arrival.
   *
   * @param load the load
   * @param asOfMs the time of arrival, by the monotonic clock
   */
  record ReportedLoad(EndpointLoad load, long asOfMs) {}

  /**
   * Processes the gossip payload of a node.
   *
   * @param nodeId the id of the node
   * @param payload the encoded loads
   */
  public void onPayload(String nodeId, byte[] payload) {
    long nowMs = MonotonicClock.nowMs();
    List<EndpointLoad> loads = EndpointLoadCodec.decode(payload);
    Map<Integer, ReportedLoad> reported = new ConcurrentHashMap<>();
    loads.forEach(load -> reported.put(load.nameHash(), new ReportedLoad(load, nowMs)));
    byNode.put(nodeId, reported);
  }

  /** Returns the load of an endpoint that a node reported recently, or null if there is none. */
  ReportedLoad find(String nodeId, String endpoint) {
    ReportedLoad reported = byNode.getOrDefault(nodeId, Map.of()).get(endpoint.hashCode());
    long nowMs = MonotonicClock.nowMs();
    return reported == null || nowMs - reported.asOfMs() > MAX_AGE_MS ? null : reported;
  }
}
