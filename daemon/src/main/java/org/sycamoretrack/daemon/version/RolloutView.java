package org.sycamoretrack.daemon.version;

import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.version.RolloutStatus;

/**
 * What a node knows of the weight rollouts that it runs or follows. Immutable, for any thread.
 *
 * @param targetVersions the newest version by pool, for pools of which this node owns a group
 * @param endpoints the engines that this node reads, by name
 * @param groups the groups that this node owns
 */
public record RolloutView(
    Map<String, Long> targetVersions,
    Map<String, RolloutStatus> endpoints,
    List<OwnedGroup> groups) {
  /** The view before anything is known. */
  public static final RolloutView EMPTY = new RolloutView(Map.of(), Map.of(), List.of());

  /** Copies the parts. */
  public RolloutView {
    targetVersions = Map.copyOf(targetVersions);
    endpoints = Map.copyOf(endpoints);
    groups = List.copyOf(groups);
  }

  /**
   * A group that this node owns.
   *
   * @param group the group
   * @param epoch the fencing number of its orders, 0 while it may give none
   * @param loading whether a load is under way
   */
  public record OwnedGroup(RolloutGroup group, long epoch, boolean loading) {}

  /**
   * Returns whether an endpoint gets no new work because of a load.
   *
   * @param endpoint its name
   */
  public boolean isOutOfService(String endpoint) {
    RolloutStatus status = endpoints.get(endpoint);
    return status != null && status.outOfService();
  }
}
