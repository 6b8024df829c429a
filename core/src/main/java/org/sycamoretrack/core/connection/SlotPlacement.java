package org.sycamoretrack.core.connection;

import java.util.List;
import java.util.Set;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Chooses the endpoint of an item or of a plain request.
 *
 * <p>Cost of an endpoint: the share of its slots in use with the new request, times how much slower
 * it works than the median. The cheapest one wins. A request that shares its prompt with others
 * stays with them while that costs at most {@value #AFFINITY_ALLOWANCE} more, so that the prompt is
 * read once; one in the node's own zone is preferred by {@value #ZONE_ALLOWANCE}.
 *
 * <p>Load that it answers: groups of items with one prompt, endpoints that slow down for moments,
 * and several nodes that place without asking each other.
 */
public final class SlotPlacement {
  /** Two of twelve slots: reading a prompt again takes less time than a tenth of a text. */
  private static final double AFFINITY_ALLOWANCE = 0.17;

  /** Under one of twelve slots: another zone is a millisecond away. */
  private static final double ZONE_ALLOWANCE = 0.05;

  private final SlotLedger ledger;
  private final String zone;

  /**
   * Creates a placement.
   *
   * @param ledger the slots in use
   * @param zone the node's availability zone
   */
  public SlotPlacement(SlotLedger ledger, String zone) {
    this.ledger = ledger;
    this.zone = zone;
  }

  /**
   * Chooses among endpoints with a free slot.
   *
   * @param candidates the endpoints that may serve the request
   * @param preferred endpoints that have its prompt
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint; null when no candidate has a free slot
   */
  public Endpoint chooseFree(List<Endpoint> candidates, Set<String> preferred, long nowMs) {
    return choose(candidates, preferred, true, nowMs);
  }

  /**
   * Chooses among all endpoints, also those whose slots are taken.
   *
   * @param candidates the endpoints that may serve the request
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint; null when there is no candidate
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
          needsSlot && (ledger.isPaused(endpoint.id(), nowMs) || ledger.free(endpoint, nowMs) == 0);
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
    double cost =
        (ledger.load(endpoint.id(), nowMs) + 1.0)
            / slots
            * Math.max(1, ledger.worstSlowness(endpoint.id(), nowMs));
    if (ledger.isPaused(endpoint.id(), nowMs)) {
      cost += 1;
    }
    if (preferred.contains(endpoint.id())) {
      cost -= AFFINITY_ALLOWANCE;
    }
    return endpoint.zone().equals(zone) ? cost - ZONE_ALLOWANCE : cost;
  }
}
