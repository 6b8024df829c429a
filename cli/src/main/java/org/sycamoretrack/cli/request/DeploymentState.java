package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.transport.request.HttpException;

/** The states of all nodes in the context, read one after the other. */
final class DeploymentState {
  private final Map<String, JsonNode> states = new LinkedHashMap<>();
  private final Map<String, String> unreachable = new LinkedHashMap<>();

  private DeploymentState() {}

  static DeploymentState read(OperatorClient client) {
    DeploymentState result = new DeploymentState();
    for (String nodeId : client.nodeIds()) {
      try {
        result.states.put(
            nodeId,
            OperatorClient.requireSuccess(
                client.call(nodeId, "GET", "/state", null, Map.of()), nodeId));
      } catch (HttpException e) {
        result.unreachable.put(nodeId, e.getMessage());
      } catch (CliException e) {
        result.unreachable.put(nodeId, e.toErrorLine());
      }
    }
    return result;
  }

  /** Returns the states of the nodes that responded, by node id. */
  Map<String, JsonNode> states() {
    return states;
  }

  /** Returns the error of each node whose state could not be read, by node id. */
  Map<String, String> unreachable() {
    return unreachable;
  }

  static long versionOf(JsonNode state) {
    return state.at("/control/configurationVersion").asLong();
  }

  /**
   * Returns the version in force on each live node: the nodes that responded, and the nodes that
   * these list as members, with the last known version of each.
   */
  Map<String, Long> liveVersions() {
    Map<String, Long> versions = new TreeMap<>();
    for (JsonNode state : states.values()) {
      for (JsonNode member : state.at("/control/members")) {
        if (!member.path("state").asText().equals("DEAD")) {
          versions.merge(
              member.path("nodeId").asText(), member.path("configVersion").asLong(), Math::max);
        }
      }
    }
    states.forEach((nodeId, state) -> versions.merge(nodeId, versionOf(state), Math::max));
    return versions;
  }

  /** Returns the nodes, live or in the context, that are not known to have reached a version. */
  Set<String> nodesBehind(long version) {
    TreeSet<String> behind = new TreeSet<>(unreachable.keySet());
    liveVersions()
        .forEach(
            (nodeId, inForce) -> {
              if (inForce < version) {
                behind.add(nodeId);
              } else {
                behind.remove(nodeId);
              }
            });
    return behind;
  }
}
