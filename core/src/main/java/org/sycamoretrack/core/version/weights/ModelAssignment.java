package org.sycamoretrack.core.version.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Partitions the endpoints of a service into one share for each of its models.
 *
 * <p>Only the endpoints of a model's share load its new versions. A new version therefore costs one
 * load for each endpoint of the share instead of each endpoint of the service, and items of
 * different models don't compete for slots.
 *
 * <p>The sizes of the shares differ by at most one. Reassignments are kept to a minimum: an
 * endpoint that leaves is removed from its share, a new one is added to the smallest share, and an
 * endpoint moves only if its share is larger than another by two or more.
 *
 * <p>Example: for the endpoints a to d and the models m and n, m has a and c, n has b and d. When a
 * leaves, m has c, and n has b and d. When b and d leave too, c stays with m and is also assigned
 * to n: a model whose share would be empty shares the endpoints of all other models.
 */
public final class ModelAssignment {
  private ModelAssignment() {}

  /**
   * Computes the shares.
   *
   * @param models the models of a service
   * @param endpointIds the endpoints of the service that may get new work
   * @param previous the previous shares by model; may contain endpoints that no longer exist
   * @return the endpoints by model, ordered by id
   */
  public static Map<String, List<String>> assign(
      Collection<String> models,
      Collection<String> endpointIds,
      Map<String, List<String>> previous) {
    Map<String, NavigableSet<String>> shares = new TreeMap<>();
    NavigableSet<String> unassigned = new TreeSet<>(endpointIds);
    for (String model : models) {
      NavigableSet<String> share = new TreeSet<>();
      for (String id : previous.getOrDefault(model, List.of())) {
        if (unassigned.remove(id)) {
          share.add(id);
        }
      }
      shares.put(model, share);
    }
    if (shares.isEmpty()) {
      return Map.of();
    }
    unassigned.forEach(id -> findShare(shares, false).add(id));
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
    NavigableSet<String> result = null;
    for (NavigableSet<String> share : shares.values()) {
      if (result == null
          || (largest ? share.size() > result.size() : share.size() < result.size())) {
        result = share;
      }
    }
    return result;
  }

  /** Assigns all endpoints to a model without any. */
  private static void fillEmptyShares(Map<String, List<String>> shares) {
    List<String> all = shares.values().stream().flatMap(List::stream).sorted().toList();
    shares.replaceAll((model, share) -> share.isEmpty() ? new ArrayList<>(all) : share);
  }
}
