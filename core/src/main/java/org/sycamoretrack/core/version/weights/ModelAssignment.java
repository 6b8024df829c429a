package org.sycamoretrack.core.version.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Gives each model of a service its own share of the service's endpoints.
 *
 * <p>Only the endpoints of a model's share are moved to its new versions, so a new version costs
 * one load for each endpoint of the share and not for each endpoint of the service, and items of
 * different models don't take each other's slots.
 *
 * <p>Shares differ by one endpoint at most. An endpoint stays with its model while that holds: one
 * that leaves is taken out, a new one goes to the smallest share, and only when a share is two
 * larger than another does one endpoint change sides.
 *
 * <p>Example: endpoints a to d, models m and n: m has a and c, n has b and d. When a leaves, m has
 * c and n has b and d. When b and d leave too, n is empty and c stays with m: a lone endpoint
 * serves every model that has no endpoint of its own.
 */
public final class ModelAssignment {
  private ModelAssignment() {}

  /**
   * Returns the shares.
   *
   * @param models the models of a service
   * @param endpointIds the endpoints of the service that may get new work
   * @param previous the shares before, by model; may name endpoints that are gone
   * @return the endpoints by model, in order of their ids
   */
  public static Map<String, List<String>> assign(
      Collection<String> models,
      Collection<String> endpointIds,
      Map<String, List<String>> previous) {
    Map<String, NavigableSet<String>> shares = new TreeMap<>();
    NavigableSet<String> free = new TreeSet<>(endpointIds);
    for (String model : models) {
      NavigableSet<String> share = new TreeSet<>();
      for (String id : previous.getOrDefault(model, List.of())) {
        if (free.remove(id)) {
          share.add(id);
        }
      }
      shares.put(model, share);
    }
    if (shares.isEmpty()) {
      return Map.of();
    }
    free.forEach(id -> findShare(shares, false).add(id));
    while (findShare(shares, true).size() - findShare(shares, false).size() > 1) {
      findShare(shares, false).add(findShare(shares, true).pollLast());
    }
    Map<String, List<String>> result = new TreeMap<>();
    shares.forEach((model, share) -> result.put(model, new ArrayList<>(share)));
    fillEmptyShares(result);
    return result;
  }

  private static NavigableSet<String> findShare(
      Map<String, NavigableSet<String>> shares, boolean largest) {
    NavigableSet<String> found = null;
    for (NavigableSet<String> share : shares.values()) {
      if (found == null || (largest ? share.size() > found.size() : share.size() < found.size())) {
        found = share;
      }
    }
    return found;
  }

  /** Lets a model without endpoints use all that there are. */
  private static void fillEmptyShares(Map<String, List<String>> shares) {
    List<String> all = shares.values().stream().flatMap(List::stream).sorted().toList();
    shares.replaceAll((model, share) -> share.isEmpty() ? new ArrayList<>(all) : share);
  }
}
