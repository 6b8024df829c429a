package org.sycamoretrack.daemon.version.deployment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointWeights;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;

/**
 * What a node believes of its deployment at one moment. Immutable.
 *
 * @param manifest the routes; empty before one was read
 * @param fleet the endpoints
 * @param namedVersions the newest version of each model that was named
 * @param weights the shares of the models and what their endpoints serve
 * @param owners the owners of open batches, by batch
 */
public record DeploymentView(
    Optional<Manifest> manifest,
    Fleet fleet,
    Map<String, Integer> namedVersions,
    WeightPlan weights,
    Map<String, Owner> owners) {
  /** What a node believes before it has read anything. */
  public static final DeploymentView EMPTY =
      new DeploymentView(Optional.empty(), Fleet.EMPTY, Map.of(), WeightPlan.EMPTY, Map.of());

  /** Copies the maps. */
  public DeploymentView {
    namedVersions = Map.copyOf(namedVersions);
    owners = Map.copyOf(owners);
  }

  /**
   * Returns the version of a model that an endpoint is known to serve.
   *
   * @param endpoint the endpoint
   * @param model the model
   * @return the version, 0 when it is not known to serve the model
   */
  public int version(Endpoint endpoint, String model) {
    EndpointWeights known = weights.endpoints().get(endpoint.id());
    int planned = known == null ? 0 : known.versions().getOrDefault(model, 0);
    return Math.max(planned, endpoint.version(model));
  }

  /**
   * Returns whether an endpoint is being ordered to load a model's weights.
   *
   * @param endpointId the endpoint
   * @param model the model
   */
  public boolean isLoading(String endpointId, String model) {
    EndpointWeights known = weights.endpoints().get(endpointId);
    return known != null && known.loading().contains(model);
  }

  /**
   * Returns the endpoints of a model's share that are in service.
   *
   * @param service the service
   * @param model the model
   */
  public List<Endpoint> share(String service, String model) {
    List<String> ids = weights.shares().getOrDefault(model, List.of());
    return fleet.inService(service).stream()
        .filter(endpoint -> ids.contains(endpoint.id()))
        .toList();
  }
}
