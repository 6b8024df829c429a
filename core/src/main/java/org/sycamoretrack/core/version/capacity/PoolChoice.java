package org.sycamoretrack.core.version.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/**
 * Chooses the pools in which endpoints are added and released, one at a time.
 *
 * <p>Endpoints are added in zones below their minimum, then where they cost least, under limits
 * that bound the loss by one event: no zone has more than half of the capacity, spot endpoints are
 * at most half of it, and those of one zone, which are reclaimed together, at most a quarter. When
 * no pool within the limit of the zones accepts orders, that limit is dropped, because a late step
 * costs more than the endpoint.
 *
 * <p>Spot endpoints are released first, in the zone with the most endpoints: they may be reclaimed
 * at any time.
 */
final class PoolChoice {
  private static final int ZONE_DIVISOR = 2;
  private static final int SPOT_DIVISOR = 2;

  /**
   * A reclaim takes all spot endpoints of a zone at once. The batches of the {@code boot_s} until
   * they are replaced have their deadlines within two boot times, so they can bear the loss of a
   * quarter but not of half.
   */
  private static final int SPOT_OF_ZONE_DIVISOR = 4;

  private final ScalingTerms terms;
  private final int required;
  private final Map<CapacityPool, Integer> targets = new TreeMap<>();

  /**
   * Creates a choice.
   *
   * @param terms the scaling terms
   * @param required the number of endpoints that the service should have
   * @param record the state of the pools
   */
  PoolChoice(ScalingTerms terms, int required, CapacityRecord record) {
    this.terms = terms;
    this.required = required;
    record.pools().forEach((pool, state) -> targets.put(pool, state.target()));
  }

  /** Returns the number of endpoints of a pool after the choices so far. */
  int target(CapacityPool pool) {
    return targets.getOrDefault(pool, 0);
  }

  /**
   * Adds an endpoint to the cheapest pool.
   *
   * @param accepts whether a pool may get an order
   * @return the pool, or empty if no pool may get more endpoints
   */
  Optional<CapacityPool> add(Predicate<CapacityPool> accepts) {
    List<CapacityPool> candidates = new ArrayList<>();
    for (String zone : terms.zonePrices().keySet()) {
      for (EndpointKind kind : EndpointKind.values()) {
        CapacityPool pool = new CapacityPool(zone, kind);
        if (accepts.test(pool) && zoneTarget(zone) < terms.max() && isSpotAllowed(pool)) {
          candidates.add(pool);
        }
      }
    }
    candidates.sort(
        Comparator.comparing((CapacityPool pool) -> zoneTarget(pool.zone()) >= terms.min())
            .thenComparingDouble(this::price)
            .thenComparingInt((CapacityPool pool) -> zoneTarget(pool.zone()))
            .thenComparing(Comparator.naturalOrder()));
    int zoneLimit = (required + ZONE_DIVISOR - 1) / ZONE_DIVISOR;
    Optional<CapacityPool> chosen =
        candidates.stream()
            .filter(pool -> zoneTarget(pool.zone()) < zoneLimit)
            .findFirst()
            .or(() -> candidates.stream().findFirst());
    chosen.ifPresent(pool -> targets.merge(pool, 1, Integer::sum));
    return chosen;
  }

  /**
   * Releases an endpoint.
   *
   * @param accepts whether a pool may get an order
   * @return the pool, or empty if no pool may release endpoints
   */
  Optional<CapacityPool> release(Predicate<CapacityPool> accepts) {
    Optional<CapacityPool> chosen =
        targets.keySet().stream()
            .filter(pool -> target(pool) > 0 && zoneTarget(pool.zone()) > terms.min())
            .filter(accepts)
            .max(
                Comparator.comparing(CapacityPool::kind)
                    .thenComparingInt(pool -> zoneTarget(pool.zone()))
                    .thenComparingDouble(this::price)
                    .thenComparing(Comparator.naturalOrder()));
    chosen.ifPresent(pool -> targets.merge(pool, -1, Integer::sum));
    return chosen;
  }

  private double price(CapacityPool pool) {
    double zonePrice = terms.zonePrices().getOrDefault(pool.zone(), 1.0);
    return pool.kind() == EndpointKind.SPOT ? zonePrice * terms.spotPrice() : zonePrice;
  }

  private int zoneTarget(String zone) {
    return target(new CapacityPool(zone, EndpointKind.ON_DEMAND))
        + target(new CapacityPool(zone, EndpointKind.SPOT));
  }

  private boolean isSpotAllowed(CapacityPool pool) {
    if (pool.kind() != EndpointKind.SPOT) {
      return true;
    }
    int spot =
        targets.keySet().stream()
            .filter(other -> other.kind() == EndpointKind.SPOT)
            .mapToInt(this::target)
            .sum();
    return spot < required / SPOT_DIVISOR
        && target(pool) < Math.max(1, required / SPOT_OF_ZONE_DIVISOR);
  }
}
