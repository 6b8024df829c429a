package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a node. Immutable; read by {@link SettingsReader}.
 *
 * @param nodeId the node's name, unique among all nodes
 * @param zone its availability zone
 * @param region its region, {@code default} when the settings name none
 * @param callerAddress where callers are served
 * @param trainerAddress where trainers are served
 * @param operatorAddress where operators are served
 * @param peerAddress where other nodes connect
 * @param peers peer addresses to join through
 * @param platform the addresses of the platform's services
 * @param operatorTokenFile file with the bearer token of operators, or null
 * @param peerKeyFile file with the key that nodes prove to each other, or null
 * @param limits the limits
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

  /** Returns the settings in JSON that the schema has accepted. */
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
