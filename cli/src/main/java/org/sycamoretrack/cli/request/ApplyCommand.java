package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.sycamoretrack.cli.process.ExitCode;

/**
 * Creates and changes resources from a file. A resource with a version is changed only while it has
 * that version. What is the same already is left alone.
 */
@Parameters(commandDescription = "Create or change the resources in a file")
public final class ApplyCommand implements Command {
  @ParametersDelegate private final FileOption file = new FileOption();
  @ParametersDelegate private final WaitOptions wait = new WaitOptions();

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String[] examples() {
    return new String[] {
      "sycamoretrack apply -f pools.json --wait", "cat pools.json | sycamoretrack apply -f -"
    };
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    ResourceClient resources = new ResourceClient(client);
    List<JsonNode> given = file.read();
    List<JsonNode> normalized = resources.validate(given);
    long version = 0;
    for (int i = 0; i < given.size(); i++) {
      version =
          Math.max(
              version,
              apply(resources, normalized.get(i), given.get(i).path("version").asLong(), out));
    }
    return wait.isEnabled() && version > 0
        ? wait.waiter(client, out).awaitVersion(version)
        : ExitCode.OK;
  }

  /** Applies one resource; returns the version that it made, or 0. */
  private static long apply(
      ResourceClient resources, JsonNode resource, long expectedVersion, CommandOutput out) {
    String key = ResourceFile.key(resource);
    JsonNode before =
        resources.find(resource.path("kind").asText(), resource.path("name").asText());
    if (before != null && expectedVersion == 0 && ResourceClient.hasSameContent(before, resource)) {
      out.line(key + " unchanged at version " + before.path("version").asLong());
      return 0;
    }
    long version = resources.put(resource, expectedVersion).path("version").asLong();
    out.line(key + (before == null ? " created" : " changed") + " at version " + version);
    return version;
  }
}
