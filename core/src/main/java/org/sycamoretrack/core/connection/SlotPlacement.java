package org.sycamoretrack.core.connection;

import java.util.List;
import java.util.Set;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Selects the endpoint of a batch item or of a single request by the slots in use.
 *
 * <p>The cost of an endpoint is the share of its slots that are in use including the new request,
 * multiplied by its slowdown relative to the median. The endpoint with the lowest cost is selected.
 * A request that shares its prompt with others is placed with them if that costs at most {@value
 * #AFFINITY_ALLOWANCE} more, so that the prompt is processed only once, unless their endpoint is
 * slow: an item that is moved away from it must not return. An endpoint in the node's own zone is
 * preferred if it costs at most {@value #ZONE_ALLOWANCE} more.
 *
 * <p>Designed for groups of items with the same prompt, endpoints with brief slowdowns, and several
 * nodes that place requests without coordination.
 */
public final class SlotPlacement {
  /**
   * Two of twelve slots. Processing a prompt again takes less than a tenth of the time to generate
   * a text.
   */
  private static final double AFFINITY_ALLOWANCE = 0.17;

  /** Less than one of twelve slots: the latency to another zone is only a millisecond. */
  private static final double ZONE_ALLOWANCE = 0.05;

  private final SlotTracker tracker;
  private final String zone;

  /**
   * Creates an instance.
   *
   * @param tracker the slots in use
   * @param zone the node's availability zone
   */
  public SlotPlacement(SlotTracker tracker, String zone) {
    this.tracker = tracker;
    this.zone = zone;
  }

  /**
   * Selects among the endpoints with a free slot.
   *
   * @param candidates the endpoints that may serve the request
   * @param preferred the ids of the endpoints that have already processed its prompt
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint, or null if no candidate has a free slot
   */
  public Endpoint chooseFree(List<Endpoint> candidates, Set<String> preferred, long nowMs) {
    return choose(candidates, preferred, true, nowMs);
  }

  /**
   * Selects among all endpoints, including those without a free slot.
   *
   * @param candidates the endpoints that may serve the request
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint, or null if there is no candidate
   */
  public Endpoint chooseAny(List<Endpoint> candidates, long nowMs) {
    return choose(candidates, Set.of(), false, nowMs);
  }

  private Endpoint choose(
      List<Endpoint> candidates, Set<String> preferred, boolean needsSlot, long nowMs) {
    Endpoint best = null;
    double bestCost = Double.MAX_VALUE;
    for (Endpoint endpoint : candidates) {
      boolean unusable =
          needsSlot
              && (tracker.isPaused(endpoint.id(), nowMs) || tracker.free(endpoint, nowMs) == 0);
      double cost = cost(endpoint, preferred, nowMs);
      if (!unusable && cost < bestCost) {
        best = endpoint;
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(Endpoint endpoint, Set<String> preferred, long nowMs) {
    int slots = Math.max(1, endpoint.slots());
    double slowdown = Math.max(1, tracker.worstSlowdown(endpoint.id(), nowMs));
    double cost = (tracker.load(endpoint.id(), nowMs) + 1.0) / slots * slowdown;
    if (tracker.isPaused(endpoint.id(), nowMs)) {
      cost += 1;
    }
    if (preferred.contains(endpoint.id()) && slowdown < SlotTracker.TRANSIENT_SLOW_FACTOR) {
      cost -= AFFINITY_ALLOWANCE;
    }
    return endpoint.zone().equals(zone) ? cost - ZONE_ALLOWANCE : cost;
  }
}
