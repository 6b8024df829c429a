package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.sycamoretrack.cli.process.ExitCode;

/**
 * Creates and changes resources from a file. A resource whose file entry has a version is only
 * changed if it still has that version. An unchanged resource is not written again.
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
    List<JsonNode> specified = file.read();
    List<JsonNode> normalized = resources.validate(specified);
    long version = 0;
    for (int i = 0; i < specified.size(); i++) {
      version =
          Math.max(
              version,
              apply(resources, normalized.get(i), specified.get(i).path("version").asLong(), out));
    }
    return wait.isEnabled() && version > 0
        ? wait.waiter(client, out).awaitVersion(version)
        : ExitCode.OK;
  }

  /** Applies one resource. Returns the version that the change created, or 0 for no change. */
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
