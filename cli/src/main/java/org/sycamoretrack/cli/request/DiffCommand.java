package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.TreeSet;
import org.sycamoretrack.cli.process.ExitCode;

/** Shows what {@code apply} would change. */
@Parameters(
    commandDescription = "Show what apply would change; exit code 5 if there are differences")
public final class DiffCommand implements Command {
  @ParametersDelegate private final FileOption file = new FileOption();

  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack diff -f pools.json"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    ResourceClient resources = new ResourceClient(client);
    boolean different = false;
    for (JsonNode resource : resources.validate(file.read())) {
      JsonNode before =
          resources.find(resource.path("kind").asText(), resource.path("name").asText());
      if (before == null) {
        out.line("+ " + ResourceFile.key(resource));
        different = true;
      } else if (!ResourceClient.hasSameContent(before, resource)) {
        out.line("~ " + ResourceFile.key(resource) + " at version " + before.path("version"));
        compare("/labels", before.path("labels"), resource.path("labels"), out);
        compare("/spec", before.path("spec"), resource.path("spec"), out);
        different = true;
      }
    }
    return different ? ExitCode.DIFFERENT : ExitCode.OK;
  }

  private static void compare(String pointer, JsonNode before, JsonNode after, CommandOutput out) {
    if (before.equals(after)) {
      return;
    }
    if (!before.isObject() || !after.isObject()) {
      out.line("  " + pointer + ": " + toText(before) + " -> " + toText(after));
      return;
    }
    TreeSet<String> fields = new TreeSet<>();
    before.fieldNames().forEachRemaining(fields::add);
    after.fieldNames().forEachRemaining(fields::add);
    fields.forEach(
        field -> compare(pointer + "/" + field, before.path(field), after.path(field), out));
  }

  private static String toText(JsonNode value) {
    return value.isMissingNode() ? "(none)" : value.toString();
  }
}
