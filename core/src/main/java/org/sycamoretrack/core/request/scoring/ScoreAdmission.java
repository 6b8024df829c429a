package org.sycamoretrack.core.request.scoring;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Decides whether a scoring call may be sent now, and to which endpoint. Scoring calls share the
 * slots of a service with plain requests, for which callers wait, and therefore yield to them.
 *
 * <p>An endpoint gets a scoring call only if it has a free slot beyond those that are reserved for
 * plain requests, a third, and if fewer than half of its slots are used by scoring calls of this
 * node. A call that has waited for {@value #MAX_YIELD_MS} ms may use a reserved slot, so that a
 * service that is busy with plain requests doesn't hold up a batch forever. No call is sent to an
 * endpoint without a free slot.
 *
 * <p>Designed for bursts of texts that end together before a service with a few slots.
 *
 * <p>Not thread-safe.
 */
public final class ScoreAdmission {
  private static final int RESERVED_DIVISOR = 3;
  private static final int MAX_SHARE_DIVISOR = 2;

  /** Short compared with the several seconds in which the results of a batch are due. */
  private static final long MAX_YIELD_MS = 1_000;

  private final SlotTracker tracker;
  private final SlotPlacement placement;
  private final Map<String, Integer> inFlight = new HashMap<>();

  /**
   * Creates an instance.
   *
   * @param tracker the slots in use by all requests
   * @param placement selects among the admissible endpoints
   */
  public ScoreAdmission(SlotTracker tracker, SlotPlacement placement) {
    this.tracker = tracker;
    this.placement = placement;
  }

  /**
   * Selects the endpoint of a call.
   *
   * @param candidates the endpoints of the scoring service
   * @param avoided the ids of endpoints that are used only if no other one is admissible
   * @param waitedMs how long the call has waited, in milliseconds
   * @param nowMs the monotonic time in milliseconds
   * @return the endpoint, or null if the call has to wait
   */
  public Endpoint choose(
      List<Endpoint> candidates, Set<String> avoided, long waitedMs, long nowMs) {
    List<Endpoint> admissible =
        candidates.stream().filter(endpoint -> admits(endpoint, waitedMs, nowMs)).toList();
    List<Endpoint> preferred =
        admissible.stream().filter(endpoint -> !avoided.contains(endpoint.id())).toList();
    Endpoint chosen = placement.chooseFree(preferred, Set.of(), nowMs);
    return chosen != null ? chosen : placement.chooseFree(admissible, Set.of(), nowMs);
  }

  private boolean admits(Endpoint endpoint, long waitedMs, long nowMs) {
    int slots = Math.max(1, endpoint.slots());
    int reserved = waitedMs < MAX_YIELD_MS ? slots / RESERVED_DIVISOR : 0;
    int maxInFlight = Math.max(1, slots / MAX_SHARE_DIVISOR);
    return tracker.free(endpoint, nowMs) > reserved
        && inFlight.getOrDefault(endpoint.id(), 0) < maxInFlight;
  }

  /** Records that a call was sent to an endpoint. */
  public void onSent(String endpointId) {
    tracker.onSent(endpointId);
    inFlight.merge(endpointId, 1, Integer::sum);
  }

  /** Records the end of a call at an endpoint. */
  public void onEnded(String endpointId) {
    tracker.onEnded(endpointId);
    inFlight.computeIfPresent(endpointId, (id, count) -> count > 1 ? count - 1 : null);
  }
}
