package org.sycamoretrack.core.connection;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * <p>With a {@link ZoneOverflow}, that decides the zone of a piece of work instead, and the
 * endpoint with the lowest cost in this zone is selected.
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
  private final ZoneOverflow overflow;

  /**
   * Creates an instance that prefers the node's zone by a constant.
   *
   * @param tracker the slots in use
   * @param zone the node's availability zone
   */
  public SlotPlacement(SlotTracker tracker, String zone) {
    this.tracker = tracker;
    this.zone = zone;
    this.overflow = null;
  }

  /**
   * Creates an instance that has the zone decided for each piece of work.
   *
   * @param tracker the slots in use
   * @param overflow decides the zone
   */
  public SlotPlacement(SlotTracker tracker, ZoneOverflow overflow) {
    this.tracker = tracker;
    this.zone = overflow.zone();
    this.overflow = overflow;
  }

  /**
   * Selects the endpoint of a piece of work.
   *
   * @param work the work; an item needs a free slot, a plain request doesn't
   * @param candidates the endpoints that may run it
   * @param preferred the ids of the endpoints that have already processed its prompt
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint, or null if there is none or an item has to wait
   */
  public Endpoint choose(
      ZoneWork work, List<Endpoint> candidates, Set<String> preferred, long nowMs) {
    boolean needsSlot = work.kind() == ZoneWork.Kind.ITEM;
    if (overflow == null) {
      return choose(candidates, preferred, needsSlot, nowMs);
    }
    Map<String, Endpoint> choices = new LinkedHashMap<>();
    Map<String, Double> costs = new LinkedHashMap<>();
    for (Endpoint endpoint : candidates) {
      boolean unusable =
          tracker.isPaused(endpoint.id(), nowMs)
              || (needsSlot && tracker.free(endpoint, nowMs) == 0);
      double slowdown = Math.max(1, overflow.slowdown(work, endpoint, nowMs));
      double cost = cost(endpoint, preferred, slowdown, nowMs);
      if (!unusable && cost < costs.getOrDefault(endpoint.zone(), Double.MAX_VALUE)) {
        choices.put(endpoint.zone(), endpoint);
        costs.put(endpoint.zone(), cost);
      }
    }
    if (choices.isEmpty()) {
      return choose(candidates, preferred, needsSlot, nowMs);
    }
    return choices.get(overflow.zoneFor(work, candidates, choices, nowMs));
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
      double slowdown = Math.max(1, tracker.worstSlowdown(endpoint.id(), nowMs));
      double cost = cost(endpoint, preferred, slowdown, nowMs);
      if (!unusable && cost < bestCost) {
        best = endpoint;
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(Endpoint endpoint, Set<String> preferred, double slowdown, long nowMs) {
    int slots = Math.max(1, endpoint.slots());
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
