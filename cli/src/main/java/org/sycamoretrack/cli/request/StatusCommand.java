package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.cli.process.ExitCode;

/** Prints the status of each node as one table row. */
@Parameters(commandDescription = "Show each node: version in force, lease, members, queue, drains")
public final class StatusCommand implements Command {
  private static final List<String> HEADERS =
      List.of("NODE", "VERSION", "LEASE", "EPOCH", "MEMBERS", "QUEUE", "IN-SERVICE", "DRAINED");

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack status --context fyllnadsgruppen.json"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    DeploymentState deployment = DeploymentState.read(client);
    out.table(HEADERS, rows(deployment));
    return reportUnreachable(deployment, out);
  }

  static List<List<String>> rows(DeploymentState deployment) {
    List<List<String>> rows = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : deployment.states().entrySet()) {
      rows.add(row(entry.getKey(), entry.getValue()));
    }
    return rows;
  }

  /** Prints the nodes whose state could not be read, and returns the exit code. */
  static ExitCode reportUnreachable(DeploymentState deployment, CommandOutput out) {
    deployment
        .unreachable()
        .forEach((nodeId, problem) -> out.line(nodeId + " can't be reached: " + problem));
    return deployment.states().isEmpty() ? ExitCode.UNREACHABLE : ExitCode.OK;
  }

  private static List<String> row(String nodeId, JsonNode state) {
    JsonNode control = state.path("control");
    JsonNode endpoints = state.at("/requests/endpoints");
    return List.of(
        nodeId,
        String.valueOf(DeploymentState.versionOf(state)),
        control.path("leaseHeld").asBoolean() ? "held" : "none",
        control.path("leaseEpoch").asText(),
        String.valueOf(count(control.path("members"), "state", "ALIVE")),
        control.path("controlQueueLength").asText(),
        String.valueOf(count(endpoints, "inService", "true")),
        String.valueOf(count(endpoints, "outOfServiceBy", "drain")));
  }

  private static int count(JsonNode list, String field, String value) {
    int count = 0;
    for (JsonNode item : list) {
      if (item.path(field).asText().equals(value)) {
        count++;
      }
    }
    return count;
  }
}
