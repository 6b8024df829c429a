package org.sycamoretrack.daemon.version.deployment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.core.version.routing.RequestCustomer;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointWeights;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;

/**
 * A node's view of its deployment at one moment. Immutable. The view may lag behind the store.
 *
 * @param manifest the manifest with the routes; empty until one was read
 * @param fleet the listed endpoints
 * @param announcedVersions the newest announced version by model
 * @param weights the endpoints that are assigned to each model, and the versions that they serve
 * @param owners the owners of open batches
 */
public record DeploymentView(
    Optional<Manifest> manifest,
    Fleet fleet,
    Map<String, Integer> announcedVersions,
    WeightPlan weights,
    BatchOwners owners) {
  /** The view before anything was read. */
  public static final DeploymentView EMPTY =
      new DeploymentView(
          Optional.empty(), Fleet.EMPTY, Map.of(), WeightPlan.EMPTY, BatchOwners.NOT_READ);

  /** Copies the versions. */
  public DeploymentView {
    announcedVersions = Map.copyOf(announcedVersions);
  }

  /**
   * Returns the version of a model that an endpoint is known to serve.
   *
   * @param endpoint the endpoint
   * @param model the model
   * @return the version, or 0 when the endpoint is not known to serve the model
   */
  public int version(Endpoint endpoint, String model) {
    EndpointWeights known = weights.endpoints().get(endpoint.id());
    int planned = known == null ? 0 : known.versions().getOrDefault(model, 0);
    return Math.max(planned, endpoint.version(model));
  }

  /**
   * Returns whether a load of a model's weights by an endpoint is planned or in progress.
   *
   * @param endpointId the id of the endpoint
   * @param model the model
   */
  public boolean isLoading(String endpointId, String model) {
    EndpointWeights known = weights.endpoints().get(endpointId);
    return known != null && known.loading().contains(model);
  }

  /**
   * Returns the customer of the requests that a node makes for a batch.
   *
   * @param batch the batch
   */
  public RequestCustomer customerOf(BatchSubmission batch) {
    return RequestCustomer.ofBatch(
        batch.customer(), manifest.flatMap(Manifest::customers).isPresent());
  }

  /**
   * Returns the endpoints that are assigned to a model and in service.
   *
   * @param service the service
   * @param model the model
   */
  public List<Endpoint> assignedEndpoints(String service, String model) {
    List<String> ids = weights.shares().getOrDefault(model, List.of());
    return fleet.inService(service).stream()
        .filter(endpoint -> ids.contains(endpoint.id()))
        .toList();
  }
}
