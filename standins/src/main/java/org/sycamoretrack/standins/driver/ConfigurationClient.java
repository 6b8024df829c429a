package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.standins.history.HistoryRecord.ConfigAccepted;
import org.sycamoretrack.standins.history.HistoryRecord.ConfigObserved;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/** Client of the operator API of the nodes, which changes the configuration. */
public final class ConfigurationClient {
  private static final int ATTEMPTS = 100;
  private static final int RETRY_DELAY_MS = 100;

  private final DriverContext context;

  /**
   * Creates a client.
   *
   * @param context HTTP client, nodes and history
   */
  public ConfigurationClient(DriverContext context) {
    this.context = context;
  }

  /**
   * Creates the resources of a deployment.
   *
   * @param endpoints the running endpoints
   */
  public void apply(List<DeployedEndpoint> endpoints) {
    Deployment deployment = context.deployment();
    for (Deployment.Pool pool : deployment.pools()) {
      put("pools", pool.name(), Map.of("site", deployment.name()), poolSpec(pool));
      if (pool.type() == Deployment.PoolType.service) {
        put("services", pool.name(), Map.of(), Json.object().put("pool", pool.name()));
      }
    }
    for (DeployedEndpoint endpoint : endpoints) {
      put("endpoints", endpoint.name(), Map.of(), endpointSpec(endpoint));
    }
    for (Deployment.Trainer trainer : deployment.trainers()) {
      ObjectNode group = Json.object();
      group.putObject("poolSelector").putObject("matchLabels").put("name", trainer.pool());
      put("trainer-groups", trainer.name(), Map.of(), group);
      ObjectNode track =
          Json.object()
              .put("trainerGroup", trainer.name())
              .put("maxVersionLag", trainer.maxVersionLag())
              .put("scorer", trainer.scorer());
      put("tracks", trainer.name(), Map.of(), track);
    }
  }

  private static ObjectNode poolSpec(Deployment.Pool pool) {
    ObjectNode spec = Json.object().put("type", pool.type().name());
    if (pool.type() == Deployment.PoolType.model) {
      spec.put("model", pool.name()).put("checksFence", true);
    }
    return spec;
  }

  private static ObjectNode endpointSpec(DeployedEndpoint endpoint) {
    return Json.object()
        .put("pool", endpoint.pool().name())
        .put("address", endpoint.address().getAddress().getHostAddress())
        .put("port", endpoint.address().getPort())
        .put("zone", endpoint.zone());
  }

  /**
   * Creates or updates a resource. Retries until a node accepts the change.
   *
   * @param kind the resource kind
   * @param name the resource name
   * @param labels the labels
   * @param spec the spec
   */
  public void put(String kind, String name, Map<String, String> labels, ObjectNode spec) {
    ObjectNode resource = Json.object().put("kind", kind).put("name", name);
    resource.set("labels", Json.mapper().valueToTree(labels));
    resource.set("spec", spec);
    change("PUT", "/v1/resources/" + kind + "/" + name, resource);
  }

  /**
   * Deletes a resource. Retries until a node accepts the change.
   *
   * @param kind the resource kind
   * @param name the resource name
   */
  public void delete(String kind, String name) {
    change("DELETE", "/v1/resources/" + kind + "/" + name, null);
  }

  private void change(String method, String target, ObjectNode body) {
    String failureMessage = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      NodeAddress node = context.balancer().choose(null);
      HttpRequest.Builder request = HttpRequest.builder(method, node.operator(), target);
      try {
        HttpResponse response = context.call((body == null ? request : request.json(body)).build());
        if (response.status() == 200) {
          observe(node, true);
          return;
        }
        failureMessage = response.status() + " " + response.json();
      } catch (HttpException e) {
        failureMessage = e.getMessage();
        context.balancer().onFailure(node);
      }
      DriverContext.pause(RETRY_DELAY_MS);
    }
    throw new IllegalStateException(method + " " + target + " was not accepted: " + failureMessage);
  }

  /**
   * Queries the configuration that a node applies and records it in the history.
   *
   * @param node the node
   * @return its version
   * @throws HttpException if the node does not respond
   */
  public long observe(NodeAddress node) {
    return observe(node, false);
  }

  private long observe(NodeAddress node, boolean accepted) {
    HttpRequest request = HttpRequest.builder("GET", node.operator(), "/v1/configuration").build();
    JsonNode json = context.call(request).json();
    long version = json.path("version").asLong();
    long nowMs = System.currentTimeMillis();
    if (accepted) {
      context.history().add(new ConfigAccepted(nowMs, version));
    }
    String digest = Integer.toHexString(json.path("resources").toString().hashCode());
    context.history().add(new ConfigObserved(nowMs, node.nodeId(), version, digest));
    return version;
  }

  /**
   * Waits until all nodes apply the same configuration version.
   *
   * @throws IllegalStateException if that takes too long
   */
  public void awaitConfigurationApplied() {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      List<Long> versions =
          context.balancer().nodes().stream().map(this::observe).distinct().toList();
      if (versions.size() == 1) {
        return;
      }
      DriverContext.pause(RETRY_DELAY_MS);
    }
    throw new IllegalStateException(
        "the nodes did not apply the same configuration version in time");
  }
}
