package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;
import org.sycamoretrack.transport.process.Json;

/** Prints the resources of a kind, or one of them. */
@Parameters(commandDescription = "Show the resources of a kind, or one of them")
public final class GetCommand implements Command {
  @Parameter(description = "KIND [NAME]", required = true)
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--selector", description = "key=value,... or a selector in JSON")
  private String selector;

  @Parameter(names = "--output", description = "table or json")
  private String output = "table";

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String[] examples() {
    return new String[] {
      "sycamoretrack get endpoints --selector zone=svea-a",
      "sycamoretrack get pools modellhall --output json"
    };
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    if (arguments.size() > 2 || !(output.equals("table") || output.equals("json"))) {
      throw CliException.usage(
          "get takes KIND [NAME] and --output table or json", "sycamoretrack help get");
    }
    ResourceClient resources = new ResourceClient(client);
    List<JsonNode> found = new ArrayList<>();
    if (arguments.size() == 2) {
      found.add(resources.get(arguments.get(0), arguments.get(1)));
    } else {
      JsonNode parsed = selector == null ? null : SelectorParser.parse(selector);
      resources.list(arguments.get(0), parsed).forEach(found::add);
    }
    if (output.equals("table")) {
      out.table(
          List.of("NAME", "VERSION", "LABELS", "SPEC"),
          found.stream().map(GetCommand::row).toList());
    } else if (arguments.size() == 2) {
      out.json(found.get(0));
    } else {
      ObjectNode list = Json.object();
      found.forEach(list.putArray("items")::add);
      out.json(list);
    }
    return ExitCode.OK;
  }

  private static List<String> row(JsonNode resource) {
    return List.of(
        resource.path("name").asText(),
        resource.path("version").asText(),
        resource.path("labels").toString(),
        resource.path("spec").toString());
  }
}
