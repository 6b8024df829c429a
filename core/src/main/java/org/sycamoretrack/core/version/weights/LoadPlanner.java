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
 * <p>A batch is submitted right when a version is named, and it allows the version before. So an
 * endpoint that is one version behind still serves it, and is moved only {@value #BATCH_START_MS}
 * ms later, when the batch's items have found their slots. Of endpoints that are equally far
 * behind, those of the version that was named first go first.
 *
 * <p>Load that it answers: several models whose versions are named every few seconds, each with a
 * batch that needs all slots at once.
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

  /**
   * The newest version of a model.
   *
   * @param version the version
   * @param ageMs the time since it was named, in milliseconds
   */
  public record Named(int version, long ageMs) {}

  /** Half of a batch's items have begun and ended by then; versions come each 4 s. */
  private static final long BATCH_START_MS = 1_200;

  private final LoadLimit limit;

  /**
   * Creates a planner.
   *
   * @param limit how many endpoints may load at once
   */
  public LoadPlanner(LoadLimit limit) {
    this.limit = limit;
  }

  /**
   * Returns the orders to give now.
   *
   * @param targets the endpoints of all shares
   * @param named the newest version of each model that was named
   */
  public List<Load> next(List<Target> targets, Map<String, Named> named) {
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
            .filter(target -> isDue(target, named.get(target.model())))
            .sorted(
                Comparator.comparingInt(
                        (Target target) -> target.version() - named.get(target.model()).version())
                    .thenComparingLong(target -> -named.get(target.model()).ageMs())
                    .thenComparingInt(target -> loading.getOrDefault(target.model(), 0))
                    .thenComparing(Target::endpointId))
            .toList();
    int atOnce = limit.of((int) targets.stream().map(Target::endpointId).distinct().count());
    List<Load> loads = new ArrayList<>();
    for (Target target : behind) {
      int most = Math.max(1, shareSizes.get(target.model()) / 2);
      if (total < atOnce
          && !busy.containsKey(target.endpointId())
          && loading.getOrDefault(target.model(), 0) < most) {
        int version = named.get(target.model()).version();
        loads.add(new Load(target.endpointId(), target.model(), version));
        loading.merge(target.model(), 1, Integer::sum);
        busy.put(target.endpointId(), true);
        total++;
      }
    }
    return loads;
  }

  private static boolean isDue(Target target, Named newest) {
    if (newest == null || target.version() >= newest.version()) {
      return false;
    }
    return target.version() < newest.version() - 1 || newest.ageMs() >= BATCH_START_MS;
  }
}
