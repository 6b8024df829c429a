package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.cli.process.ExitCode;

/** Prints the open steps of all nodes. */
@Parameters(commandDescription = "Show the open steps and their progress")
public final class StepsCommand implements Command {
  @Parameter(names = "--track", description = "show only the steps of this track")
  private String track;

  @Override
  public String name() {
    return "steps";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack steps --track cut-patterns"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    DeploymentState deployment = DeploymentState.read(client);
    List<List<String>> rows = new ArrayList<>();
    deployment
        .states()
        .forEach(
            (nodeId, state) -> {
              for (JsonNode step : state.at("/requests/steps")) {
                if (track == null || track.equals(step.path("track").asText())) {
                  rows.add(row(nodeId, step));
                }
              }
            });
    out.table(
        List.of("TRACK", "STEP", "NODE", "SLOTS", "WAITING", "RUNNING", "FINISHED", "RECEIVED"),
        rows);
    return StatusCommand.reportUnreachable(deployment, out);
  }

  private static List<String> row(String nodeId, JsonNode step) {
    List<String> cells = new ArrayList<>();
    cells.add(step.path("track").asText());
    cells.add(step.path("step").asText());
    cells.add(nodeId);
    for (String field : List.of("slots", "waiting", "running", "finished", "received")) {
      cells.add(step.path(field).asText());
    }
    return cells;
  }
}
