package org.sycamoretrack.daemon.version.weights;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RoutedService;
import org.sycamoretrack.core.version.weights.DemandShares;
import org.sycamoretrack.core.version.weights.ModelAssignment;
import org.sycamoretrack.daemon.version.capacity.DemandTable;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Assigns the endpoints of all services to models: in shares of the same size, or by the demand of
 * the models where that is enabled.
 *
 * <p>Demand that is older than {@value #MAX_AGE_MS} ms counts as unknown, which keeps the sizes of
 * the shares.
 *
 * <p>Confined to the control loop.
 */
public final class ShareAssigner {
  /** Several polls of the demand, so that a slow store doesn't change the shares. */
  private static final long MAX_AGE_MS = 5_000;

  private final Optional<DemandTable> demand;
  private final Map<String, DemandShares> sharesByService = new HashMap<>();

  /**
   * Creates an assigner.
   *
   * @param demand the demand of all nodes; empty for shares of the same size
   */
  public ShareAssigner(Optional<DemandTable> demand) {
    this.demand = demand;
  }

  /**
   * Assigns the endpoints of a deployment.
   *
   * @param view the view of the deployment, with a manifest
   * @param previous the previous shares by model
   * @return the ids of the assigned endpoints by model
   */
  Map<String, List<String>> assign(DeploymentView view, Map<String, List<String>> previous) {
    demand.ifPresent(DemandTable::poll);
    Map<String, List<String>> shares = new HashMap<>();
    for (RoutedService service : view.manifest().orElseThrow().services().values()) {
      if (!service.models().isEmpty()) {
        List<String> ids =
            view.fleet().inService(service.name()).stream().map(Endpoint::id).toList();
        shares.putAll(assign(service, ids, previous));
      }
    }
    return shares;
  }

  private Map<String, List<String>> assign(
      RoutedService service, List<String> ids, Map<String, List<String>> previous) {
    if (demand.isEmpty()) {
      return ModelAssignment.assign(service.models(), ids, previous);
    }
    DemandTable table = demand.orElseThrow();
    Map<String, Double> rates =
        table.ageMs() > MAX_AGE_MS ? Map.of() : table.demand(service.name()).modelTokensPerSecond();
    return sharesByService
        .computeIfAbsent(service.name(), unused -> new DemandShares())
        .assign(service.models(), ids, previous, rates, MonotonicClock.nowMs());
  }
}
