package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a node. Immutable; read by {@link SettingsReader}.
 *
 * @param nodeId the id of the node, unique among all nodes
 * @param zone the availability zone of the node
 * @param region the region of the node, {@code default} if the settings specify none
 * @param callerAddress the address for callers
 * @param trainerAddress the address for trainers
 * @param operatorAddress the address for operators
 * @param peerAddress the address for other nodes
 * @param peers peer addresses through which the node joins the cluster
 * @param platform the addresses of the platform's services
 * @param operatorTokenFile a file with the bearer token for operators, or null
 * @param peerKeyFile a file with the key by which nodes authenticate each other, or null
 * @param limits the limits of the node
 */
public record NodeSettings(
    String nodeId,
    String zone,
    String region,
    InetSocketAddress callerAddress,
    InetSocketAddress trainerAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress peerAddress,
    List<InetSocketAddress> peers,
    Platform platform,
    Path operatorTokenFile,
    Path peerKeyFile,
    NodeLimits limits) {

  /**
   * The addresses of the platform's services.
   *
   * @param table the table service
   * @param objects the object store
   * @param hosts the host list
   * @param weights the weight store
   */
  public record Platform(
      InetSocketAddress table,
      InetSocketAddress objects,
      InetSocketAddress hosts,
      InetSocketAddress weights) {}

  /** Converts JSON that is valid against the schema to settings. */
  static NodeSettings ofValidJson(JsonNode json, NodeLimits limits) {
    JsonNode platform = json.get("platform");
    List<InetSocketAddress> peers = new ArrayList<>();
    json.path("peers").forEach(peer -> peers.add(address(peer)));
    return new NodeSettings(
        json.get("nodeId").asText(),
        json.get("zone").asText(),
        json.path("region").asText("default"),
        address(json.get("callerAddress")),
        address(json.get("trainerAddress")),
        address(json.get("operatorAddress")),
        address(json.get("peerAddress")),
        List.copyOf(peers),
        new Platform(
            address(platform.get("table")),
            address(platform.get("objects")),
            address(platform.get("hosts")),
            address(platform.get("weights"))),
        path(json.path("operatorTokenFile")),
        path(json.path("peerKeyFile")),
        limits);
  }

  private static InetSocketAddress address(JsonNode node) {
    return Addresses.parse(node.asText());
  }

  private static Path path(JsonNode node) {
    return node.isTextual() ? Path.of(node.asText()) : null;
  }
}
