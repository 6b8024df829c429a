package org.sycamoretrack.daemon.process.storebacked;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointWeights;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;
import org.sycamoretrack.transport.process.Json;

/**
 * Converts a node's view of the deployment to JSON for the state dump, with the age of the data.
 */
final class NodeStateJson {
  private NodeStateJson() {}

  /**
   * Returns the manifest, endpoints and batch owners that the node knows.
   *
   * @param watch provides the view of the deployment
   */
  static ObjectNode deployment(DeploymentWatch watch) {
    DeploymentView view = watch.view();
    ObjectNode json = Json.object().put("complete", watch.isComplete());
    view.manifest()
        .ifPresent(
            manifest -> {
              ObjectNode manifestJson =
                  json.putObject("manifest")
                      .put("version", manifest.version())
                      .put("ageMs", watch.manifestAgeMs())
                      .put("routes", manifest.routes().size());
              manifest.customers().ifPresent(keys -> manifestJson.put("customerKeys", keys.size()));
            });
    view.announcedVersions().forEach(json.putObject("namedVersions")::put);
    ArrayNode endpoints = json.putArray("endpoints");
    for (Endpoint endpoint : view.fleet().all()) {
      endpoints.add(endpoint(endpoint, view));
    }
    ArrayNode owners = json.putObject("owners").put("ageMs", watch.ownersAgeMs()).putArray("list");
    for (Owner owner : view.owners().byBatchId().values()) {
      owners
          .addObject()
          .put("batch", owner.batchId())
          .put("node", owner.nodeId())
          .put("version", owner.version());
    }
    return json;
  }

  private static ObjectNode endpoint(Endpoint endpoint, DeploymentView view) {
    ObjectNode json =
        Json.object()
            .put("id", endpoint.id())
            .put("service", endpoint.service())
            .put("zone", endpoint.zone())
            .put("slots", endpoint.slots())
            .put("draining", endpoint.draining());
    EndpointWeights weights =
        view.weights()
            .endpoints()
            .getOrDefault(endpoint.id(), new EndpointWeights(Map.of(), List.of()));
    ObjectNode versions = json.putObject("versions");
    endpoint
        .versions()
        .keySet()
        .forEach(model -> versions.put(model, view.version(endpoint, model)));
    weights.loading().forEach(json.putArray("loading")::add);
    return json;
  }

  /**
   * Returns the given nodes.
   *
   * @param nodes the live nodes
   */
  static ArrayNode nodes(List<NodeRecord> nodes) {
    ArrayNode json = Json.mapper().createArrayNode();
    for (NodeRecord node : nodes) {
      json.addObject()
          .put("id", node.nodeId())
          .put("zone", node.zone())
          .put("peerAddress", node.peerAddress())
          .put("leaving", node.leaving());
    }
    return json;
  }
}
