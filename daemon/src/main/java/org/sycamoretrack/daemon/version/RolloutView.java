package org.sycamoretrack.daemon.version;

import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.version.RolloutStatus;

/**
 * A snapshot of the weight rollouts that a node executes or observes. Immutable.
 *
 * @param targetVersions the target version by pool, for pools of which this node owns a group
 * @param endpoints the status of the engines that this node reads, by endpoint name
 * @param groups the groups that this node owns
 */
public record RolloutView(
    Map<String, Long> targetVersions,
    Map<String, RolloutStatus> endpoints,
    List<OwnedGroup> groups) {
  /** The view before anything is known. */
  public static final RolloutView EMPTY = new RolloutView(Map.of(), Map.of(), List.of());

  /** Copies the collections. */
  public RolloutView {
    targetVersions = Map.copyOf(targetVersions);
    endpoints = Map.copyOf(endpoints);
    groups = List.copyOf(groups);
  }

  /**
   * A group that this node owns.
   *
   * @param group the group
   * @param epoch the fencing token of its load commands, or 0 while it may not send any
   * @param loading whether a load is in progress
   */
  public record OwnedGroup(RolloutGroup group, long epoch, boolean loading) {}

  /**
   * Returns whether an endpoint is out of service because of a load and gets no new work.
   *
   * @param endpoint the name of the endpoint
   */
  public boolean isOutOfService(String endpoint) {
    RolloutStatus status = endpoints.get(endpoint);
    return status != null && status.outOfService();
  }
}
