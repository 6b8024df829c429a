package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.cli.process.ExitCode;

/** Prints the rollout tracks. */
@Parameters(commandDescription = "Show the rollout tracks")
public final class TracksCommand implements Command {
  @Override
  public String name() {
    return "tracks";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack tracks"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode track : new ResourceClient(client).list("tracks", null)) {
      JsonNode spec = track.path("spec");
      rows.add(
          List.of(
              track.path("name").asText(),
              spec.path("trainerGroup").asText(),
              spec.path("maxVersionLag").asText(),
              spec.path("scorer").asText("-"),
              spec.path("share").asText(),
              track.path("version").asText()));
    }
    out.table(
        List.of("TRACK", "TRAINER-GROUP", "MAX-VERSION-LAG", "SCORER", "SHARE", "VERSION"), rows);
    return ExitCode.OK;
  }
}
