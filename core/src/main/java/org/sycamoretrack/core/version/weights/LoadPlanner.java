package org.sycamoretrack.core.version.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoints load which weight version next.
 *
 * <p>No item of the model can start on an endpoint while it loads. Therefore at most half of a
 * model's endpoints load concurrently, and in total no more than the {@link ConcurrentLoadLimit}.
 * The endpoints with the oldest versions are loaded first: those that are too old for the next
 * batches serve no requests, so loading them costs no capacity. An endpoint always loads the newest
 * announced version; versions in between are skipped.
 *
 * <p>A batch is submitted as soon as a version is announced, and it accepts the previous version
 * too. An endpoint that is one version behind can therefore still serve it, and is loaded only
 * {@value #BATCH_START_MS} ms later, when the batch's items have got their slots. Among endpoints
 * that are equally far behind, those whose version was announced earliest are loaded first.
 *
 * <p>Designed for several models with a new version every few seconds, each followed by a batch
 * that needs all slots at once.
 */
public final class LoadPlanner {
  /**
   * An endpoint in the share of a model.
   *
   * @param endpointId the id of the endpoint
   * @param model the name of the model
   * @param version the version that it serves
   * @param loading whether a load command to it is in progress
   */
  public record Target(String endpointId, String model, int version, boolean loading) {}

  /**
   * A load command to send.
   *
   * @param endpointId the id of the endpoint
   * @param model the name of the model
   * @param version the version to load
   */
  public record Load(String endpointId, String model, int version) {}

  /**
   * The newest announced version of a model.
   *
   * @param version the version
   * @param ageMs the time since it was announced, in milliseconds
   */
  public record NewestVersion(int version, long ageMs) {}

  /** Half of a batch's items have run by then; a new version is announced every 4 s. */
  private static final long BATCH_START_MS = 1_200;

  private final ConcurrentLoadLimit limit;

  /**
   * Creates a planner.
   *
   * @param limit the maximum number of concurrent loads
   */
  public LoadPlanner(ConcurrentLoadLimit limit) {
    this.limit = limit;
  }

  /**
   * Returns the load commands to send now.
   *
   * @param targets the endpoints of all shares
   * @param announced the newest announced version of each model that has one
   */
  public List<Load> next(List<Target> targets, Map<String, NewestVersion> announced) {
    Map<String, Integer> shareSizes = new HashMap<>();
    Map<String, Integer> loadsByModel = new HashMap<>();
    Map<String, Boolean> loadingEndpoints = new HashMap<>();
    int totalLoads = 0;
    for (Target target : targets) {
      shareSizes.merge(target.model(), 1, Integer::sum);
      if (target.loading()) {
        loadsByModel.merge(target.model(), 1, Integer::sum);
        loadingEndpoints.put(target.endpointId(), true);
        totalLoads++;
      }
    }
    List<Target> dueTargets =
        targets.stream()
            .filter(target -> isDue(target, announced.get(target.model())))
            .sorted(
                Comparator.comparingInt(
                        (Target target) ->
                            target.version() - announced.get(target.model()).version())
                    .thenComparingLong(target -> -announced.get(target.model()).ageMs())
                    .thenComparingInt(target -> loadsByModel.getOrDefault(target.model(), 0))
                    .thenComparing(Target::endpointId))
            .toList();
    int maxLoads =
        limit.forEndpoints((int) targets.stream().map(Target::endpointId).distinct().count());
    List<Load> loads = new ArrayList<>();
    for (Target target : dueTargets) {
      int maxLoadsOfModel = Math.max(1, shareSizes.get(target.model()) / 2);
      if (totalLoads < maxLoads
          && !loadingEndpoints.containsKey(target.endpointId())
          && loadsByModel.getOrDefault(target.model(), 0) < maxLoadsOfModel) {
        int version = announced.get(target.model()).version();
        loads.add(new Load(target.endpointId(), target.model(), version));
        loadsByModel.merge(target.model(), 1, Integer::sum);
        loadingEndpoints.put(target.endpointId(), true);
        totalLoads++;
      }
    }
    return loads;
  }

  private static boolean isDue(Target target, NewestVersion newest) {
    if (newest == null || target.version() >= newest.version()) {
      return false;
    }
    return target.version() < newest.version() - 1 || newest.ageMs() >= BATCH_START_MS;
  }
}
