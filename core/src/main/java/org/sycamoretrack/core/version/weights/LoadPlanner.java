package org.sycamoretrack.core.version.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoint loads which version next.
 *
 * <p>While an endpoint loads, items of the model can't start there. So at most half of a model's
 * endpoints load at once, and in all no more than the store of weights serves without slowing down.
 * The endpoints furthest behind go first: those that are too old for the batches to come serve
 * nobody, so loading them takes no capacity away. An endpoint is always moved to the newest version
 * that was named; versions between are skipped.
 *
 * <p>Load that it answers: several models whose versions are named every few seconds.
 */
public final class LoadPlanner {
  /**
   * One endpoint of a model's share.
   *
   * @param endpointId the endpoint
   * @param model the model
   * @param version the version that it is known to serve
   * @param loading whether an order to it is under way
   */
  public record Target(String endpointId, String model, int version, boolean loading) {}

  /**
   * An order to be given.
   *
   * @param endpointId the endpoint
   * @param model the model
   * @param version the version to load
   */
  public record Load(String endpointId, String model, int version) {}

  private final int maxConcurrentLoads;

  /**
   * Creates a planner.
   *
   * @param maxConcurrentLoads how many endpoints may load at once, over 0
   */
  public LoadPlanner(int maxConcurrentLoads) {
    this.maxConcurrentLoads = maxConcurrentLoads;
  }

  /**
   * Returns the orders to give now.
   *
   * @param targets the endpoints of all shares
   * @param named the newest version of each model that was named
   */
  public List<Load> next(List<Target> targets, Map<String, Integer> named) {
    Map<String, Integer> shareSizes = new HashMap<>();
    Map<String, Integer> loading = new HashMap<>();
    Map<String, Boolean> busy = new HashMap<>();
    int total = 0;
    for (Target target : targets) {
      shareSizes.merge(target.model(), 1, Integer::sum);
      if (target.loading()) {
        loading.merge(target.model(), 1, Integer::sum);
        busy.put(target.endpointId(), true);
        total++;
      }
    }
    List<Target> behind =
        targets.stream()
            .filter(target -> target.version() < named.getOrDefault(target.model(), 0))
            .sorted(
                Comparator.comparingInt(
                        (Target target) -> target.version() - named.get(target.model()))
                    .thenComparingInt(target -> loading.getOrDefault(target.model(), 0))
                    .thenComparing(Target::endpointId))
            .toList();
    List<Load> loads = new ArrayList<>();
    for (Target target : behind) {
      int most = Math.max(1, shareSizes.get(target.model()) / 2);
      if (total < maxConcurrentLoads
          && !busy.containsKey(target.endpointId())
          && loading.getOrDefault(target.model(), 0) < most) {
        loads.add(new Load(target.endpointId(), target.model(), named.get(target.model())));
        loading.merge(target.model(), 1, Integer::sum);
        busy.put(target.endpointId(), true);
        total++;
      }
    }
    return loads;
  }
}
