package org.sycamoretrack.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Decides which work leaves the node's availability zone, to which zone, and how much of it.
 *
 * <p>Designed for zones whose own load exceeds their endpoints for seconds while other zones have
 * free slots, for zones with slow or failing endpoints, and for transfers between zones that cost
 * money. A piece of work leaves if it is expected to end earlier in another zone by more than the
 * price of the transfer is worth ({@link ZoneTraffic}) and a margin. A plain request is expected to
 * wait in the queue of its endpoint; an item waits until the zone has processed all waiting items
 * of its pool, and leaves at any price if its batch would be late otherwise. If no endpoint of the
 * zone is usable, all work leaves.
 *
 * <p>Another zone has room for the requests that its slots hold beyond a reserve, less the requests
 * of others there, as its endpoints reported them; the older a report, the more an assumption takes
 * its place. The number of requests in flight there rises from a tenth of the room to all of it
 * within {@value #RAMP_MS} ms and starts again after a refusal; it rises faster, and the reserve is
 * smaller, the longer the work would take in its own zone, unless it is late anyway. Two full zones
 * have no room, and so don't send to each other. The margin is larger to start than to go on, and a
 * zone stops only after it had no reason to send for {@value #HOLD_MS} ms.
 *
 * <p>Example: a request takes 30 ms, and its zone has 6 slots with 9 requests. It is expected to
 * take 50 ms there and 33 ms in an empty zone; at a price worth 7 ms it leaves, since the gain of
 * 10 ms exceeds the margin of 7.5 ms.
 *
 * <p>Not thread-safe. All times are in milliseconds of the same monotonic clock.
 */
public final class ZoneOverflow {
  /**
   * The share of a zone's slots that stays free for its own callers. It is divided by the urgency
   * of the work: with a constant reserve, a zone with twice its load served 58 % of its requests in
   * time although the others had free slots.
   */
  private static final double RESERVED_SHARE = 0.15;

  /**
   * The share of slots that is assumed to be free where no report is known, and at most where
   * reports are outdated. The first requests show soon if it isn't.
   */
  private static final double UNKNOWN_FREE_SHARE = 0.5;

  /** The weight of an outdated report beside others. */
  private static final double MIN_REPORT_WEIGHT = 0.01;

  /** Twice the highest latency between zones. */
  private static final double ROUND_TRIP_MS = 2.8;

  /** Margins as shares of the usual time of the work. */
  private static final double START_MARGIN = 0.25;

  private static final double CONTINUE_MARGIN = 0.1;

  /** A report of this age says nothing about the load any more: batches run for about a second. */
  private static final double MAX_REPORT_AGE_MS = 3_000;

  /** Younger reports are used as they are, as by {@link SlotTracker}. */
  private static final double FRESH_REPORT_MS = 1_000;

  /**
   * Divided by the urgency of the work: with three times its load, a zone's queue grows by one
   * second of work in this time.
   */
  private static final long RAMP_MS = 500;

  private static final double RAMP_START = 0.1;
  private static final long HOLD_MS = 500;

  /** Assumed until a response was measured. */
  private static final double DEFAULT_PLAIN_MS = 30;

  private static final double DEFAULT_ITEM_MS = 1_000;
  private static final double SHARE_SMOOTHING = 0.5;

  /** Receives changes of the decision. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called when work of a pool starts or stops leaving the zone.
     *
     * @param kind the kind of work
     * @param pool the pool
     * @param toZone the zone to which the first work goes; empty when it stops
     * @param expectedMs how long the work was expected to take in the zone, in milliseconds; 0 when
     *     it stops
     */
    void onChanged(ZoneWork.Kind kind, String pool, String toZone, long expectedMs);
  }

  private record PoolKey(ZoneWork.Kind kind, String pool) {}

  private final SlotTracker tracker;
  private final String zone;
  private final ZoneTraffic traffic;
  private final Listener listener;
  private final ResponseTimes times = new ResponseTimes();
  private final Map<PoolKey, Flow> flows = new HashMap<>();
  private final Map<String, Integer> decisions = new HashMap<>();
  private final Map<String, Double> shares = new TreeMap<>();

  /**
   * Creates an instance.
   *
   * @param tracker the slots in use
   * @param zone the node's availability zone
   * @param traffic the terms of traffic between zones
   * @param listener receives changes
   */
  public ZoneOverflow(SlotTracker tracker, String zone, ZoneTraffic traffic, Listener listener) {
    this.tracker = tracker;
    this.zone = zone;
    this.traffic = traffic;
    this.listener = listener;
  }

  /** Returns the node's availability zone. */
  public String zone() {
    return zone;
  }

  /**
   * Decides the zone of a piece of work that is sent now.
   *
   * @param work the work
   * @param candidates all endpoints that may run it
   * @param choices by zone, the endpoint that would run it there; without zones in which no
   *     endpoint is usable now
   * @param nowMs the current time
   * @return the zone, one of the keys of {@code choices}, or null if an item has to wait
   */
  public String zoneFor(
      ZoneWork work, List<Endpoint> candidates, Map<String, Endpoint> choices, long nowMs) {
    Flow flow = flows.computeIfAbsent(new PoolKey(work.kind(), work.pool()), any -> new Flow());
    boolean usable =
        candidates.stream().anyMatch(each -> isLocal(each) && !tracker.isPaused(each.id(), nowMs));
    double stayMs = usable ? stayMs(work, candidates, choices.get(zone), nowMs) : Double.MAX_VALUE;
    String target = usable ? zone : null;
    double targetMs = stayMs - requiredGainMs(work, flow, choices, stayMs);
    double urgency = canBeInTime(work) ? Math.max(1, stayMs / usualMs(work)) : 1;
    for (Map.Entry<String, Endpoint> choice : choices.entrySet()) {
      String other = choice.getKey();
      if (other.equals(zone)) {
        continue;
      }
      boolean admitted = admits(work, flow, other, candidates, urgency, nowMs);
      double leaveMs = expectedMs(work, choice.getValue(), nowMs);
      if (!usable && !admitted) {
        // Work that can't run in its own zone goes even to a full zone, but to others first.
        leaveMs += MAX_REPORT_AGE_MS;
      }
      if ((admitted || !usable) && leaveMs < targetMs) {
        target = other;
        targetMs = leaveMs;
      }
    }
    if (target != null && !target.equals(zone)) {
      onLeaving(work, flow, target, stayMs, nowMs);
    }
    String decided = zone.equals(target) && !choices.containsKey(zone) ? null : target;
    if (decided != null) {
      decisions.merge(decided, 1, Integer::sum);
    }
    return decided;
  }

  /**
   * Returns the gain from which work leaves: price and margin, unless its batch would be late only
   * by staying.
   */
  private double requiredGainMs(
      ZoneWork work, Flow flow, Map<String, Endpoint> choices, double stayMs) {
    boolean late = !choices.containsKey(zone) && stayMs > work.remainingMs() && canBeInTime(work);
    if (late || stayMs == Double.MAX_VALUE) {
      return 0;
    }
    double margin = flow.sending ? CONTINUE_MARGIN : START_MARGIN;
    return traffic.priceMs(work.bytes()) + margin * usualMs(work);
  }

  private boolean canBeInTime(ZoneWork work) {
    return usualMs(work) <= work.remainingMs();
  }

  private double stayMs(ZoneWork work, List<Endpoint> candidates, Endpoint choice, long nowMs) {
    if (choice != null) {
      return expectedMs(work, choice, nowMs);
    }
    double capacity = 0;
    for (Endpoint endpoint : candidates) {
      if (isLocal(endpoint) && !tracker.isPaused(endpoint.id(), nowMs)) {
        double slots = endpoint.slots() - tracker.reportedOthers(endpoint.id());
        capacity += Math.max(0, slots) / slowdown(work, endpoint, nowMs);
      }
    }
    return usualMs(work) * (1 + work.waiting() / Math.max(1, capacity));
  }

  /** Returns the expected time of work at an endpoint, with the transfer to its zone. */
  private double expectedMs(ZoneWork work, Endpoint endpoint, long nowMs) {
    double runMs = usualMs(work) * slowdown(work, endpoint, nowMs);
    boolean measured = work.kind() == ZoneWork.Kind.PLAIN && times.isMeasured(endpoint.id(), nowMs);
    double transferMs = isLocal(endpoint) || measured ? 0 : ROUND_TRIP_MS;
    return runMs * queueFactor(endpoint, tracker.load(endpoint.id(), nowMs) + 1) + transferMs;
  }

  /**
   * Returns how much longer work takes at an endpoint than usual in its pool: by the response times
   * of plain requests, and by the interval between events of items.
   *
   * @param work the work
   * @param endpoint the endpoint
   * @param nowMs the current time
   */
  double slowdown(ZoneWork work, Endpoint endpoint, long nowMs) {
    return switch (work.kind()) {
      case PLAIN ->
          times.isMeasured(endpoint.id(), nowMs)
              ? times.endpointMs(endpoint.id()) / usualMs(work)
              : 1;
      case ITEM -> Math.max(1, tracker.worstSlowdown(endpoint.id(), nowMs));
    };
  }

  /** With n requests for s slots, the last one waits for (n - s) / s rounds and runs for one. */
  private static double queueFactor(Endpoint endpoint, int requests) {
    return Math.max(1, (double) requests / Math.max(1, endpoint.slots()));
  }

  private double usualMs(ZoneWork work) {
    double defaultMs = work.kind() == ZoneWork.Kind.PLAIN ? DEFAULT_PLAIN_MS : DEFAULT_ITEM_MS;
    return Math.max(1, times.usualMs(work.pool(), defaultMs));
  }

  private boolean isLocal(Endpoint endpoint) {
    return endpoint.zone().equals(zone);
  }

  /**
   * Returns whether another zone has room for one more request of this node.
   *
   * @param urgency how many times its usual time the work would take in its own zone, at least 1
   */
  private boolean admits(
      ZoneWork work,
      Flow flow,
      String other,
      List<Endpoint> candidates,
      double urgency,
      long nowMs) {
    int own = 0;
    double slots = 0;
    double reportedSlots = 0;
    double reportedFree = 0;
    double zoneTrust = 0;
    double usableShare = 1 - RESERVED_SHARE / urgency;
    for (Endpoint endpoint : candidates) {
      if (!endpoint.zone().equals(other) || tracker.isPaused(endpoint.id(), nowMs)) {
        continue;
      }
      own += tracker.ownRequests(endpoint.id());
      slots += endpoint.slots();
      long ageMs = tracker.reportAgeMs(endpoint.id(), nowMs);
      if (ageMs < Integer.MAX_VALUE) {
        double trust = trust(ageMs);
        double weight = Math.max(MIN_REPORT_WEIGHT, trust);
        int others = tracker.reportedOthers(endpoint.id());
        reportedSlots += weight * endpoint.slots();
        reportedFree += weight * Math.max(0, endpoint.slots() * usableShare - others);
        zoneTrust = Math.max(zoneTrust, trust);
      }
    }
    double reportedShare = reportedSlots > 0 ? reportedFree / reportedSlots : UNKNOWN_FREE_SHARE;
    double assumedShare = Math.min(UNKNOWN_FREE_SHARE, reportedShare);
    // Requests on their way use no slot.
    double inTransit = 1 + ROUND_TRIP_MS / usualMs(work);
    double room = inTransit * slots * (zoneTrust * reportedShare + (1 - zoneTrust) * assumedShare);
    return room < 1
        ? zoneTrust < 1 && own == 0
        : own + 1 <= Math.max(1, flow.ramp(other, urgency, nowMs) * room);
  }

  private static double trust(long reportAgeMs) {
    double outdatedMs = Math.max(0, reportAgeMs - FRESH_REPORT_MS);
    return Math.max(0, 1 - outdatedMs / (MAX_REPORT_AGE_MS - FRESH_REPORT_MS));
  }

  private void onLeaving(ZoneWork work, Flow flow, String target, double stayMs, long nowMs) {
    flow.onLeaving(target, nowMs);
    if (!flow.sending) {
      flow.sending = true;
      listener.onChanged(work.kind(), work.pool(), target, Math.round(Math.min(1e9, stayMs)));
    }
  }

  /**
   * Returns the factor by which the queue of an endpoint lengthens the response to a request that
   * has just been sent to it. To be passed to {@link #onCompleted} with the response.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time
   */
  public double queueFactor(Endpoint endpoint, long nowMs) {
    return queueFactor(endpoint, tracker.load(endpoint.id(), nowMs));
  }

  /**
   * Records that work has ended with a result.
   *
   * @param pool the pool of the work
   * @param endpoint the endpoint that ran it
   * @param elapsedMs the time since it was sent
   * @param queueFactor the factor when it was sent, see {@link #queueFactor}; 1 for items
   * @param nowMs the current time
   */
  public void onCompleted(
      String pool, Endpoint endpoint, double elapsedMs, double queueFactor, long nowMs) {
    times.add(pool, endpoint.id(), elapsedMs / queueFactor, nowMs);
  }

  /** Records that an endpoint refused a request, which shows that its zone had no room. */
  public void onRefused(Endpoint endpoint, long nowMs) {
    flows.values().forEach(flow -> flow.rampStartsMs.replace(endpoint.zone(), nowMs));
  }

  /**
   * Detects that work no longer leaves the zone, and updates the shares. To be called every few
   * hundred milliseconds.
   *
   * @param nowMs the current time
   * @return by zone, the share of the recent work that was sent there, for all other zones to which
   *     work has been sent
   */
  public Map<String, Double> tick(long nowMs) {
    flows.forEach(
        (key, flow) -> {
          if (flow.sending && nowMs - flow.lastLeftMs > HOLD_MS) {
            flow.sending = false;
            listener.onChanged(key.kind(), key.pool(), "", 0);
          }
        });
    int total = decisions.values().stream().mapToInt(Integer::intValue).sum();
    decisions.keySet().stream()
        .filter(other -> !other.equals(zone))
        .forEach(other -> shares.putIfAbsent(other, 0.0));
    shares.replaceAll(
        (other, share) -> {
          double current = total == 0 ? 0 : (double) decisions.getOrDefault(other, 0) / total;
          return share + SHARE_SMOOTHING * (current - share);
        });
    decisions.clear();
    return Map.copyOf(shares);
  }

  /** The work of one pool that leaves the zone. */
  private static final class Flow {
    private final Map<String, Long> rampStartsMs = new HashMap<>();
    private final Map<String, Long> lastSentMs = new HashMap<>();
    private boolean sending;
    private long lastLeftMs;

    private double ramp(String other, double urgency, long nowMs) {
      boolean active =
          lastSentMs.containsKey(other) && nowMs - lastSentMs.get(other) <= HOLD_MS + RAMP_MS;
      long elapsedMs = active ? nowMs - rampStartsMs.get(other) : 0;
      return Math.min(1, RAMP_START + urgency * elapsedMs / RAMP_MS);
    }

    private void onLeaving(String other, long nowMs) {
      Long last = lastSentMs.put(other, nowMs);
      if (last == null || nowMs - last > HOLD_MS + RAMP_MS) {
        rampStartsMs.put(other, nowMs);
      }
      lastLeftMs = nowMs;
    }
  }
}
