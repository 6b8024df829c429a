package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;
import org.sycamoretrack.cli.process.ExitCode;
import org.sycamoretrack.transport.process.Json;

/** Drains the endpoints that match a selector: they receive no new work. */
@Parameters(commandDescription = "Send no new work to matching endpoints")
public final class DrainCommand implements Command {
  @Parameter(
      names = "--selector",
      required = true,
      description = "key=value,... or a selector in JSON; name, pool and zone are labels too")
  private String selector;

  @Parameter(
      names = "--name",
      description = "name of the drain; by default derived from the selector")
  private String drainName;

  @ParametersDelegate private final WaitOptions wait = new WaitOptions();

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String[] examples() {
    return new String[] {
      "sycamoretrack drain --selector zone=svea-a --wait",
      "sycamoretrack drain --name half --selector "
          + "'{\"matchExpressions\":[{\"key\":\"rack\",\"operator\":\"In\",\"values\":[\"1\"]}]}'"
    };
  }

  /** Returns the default name of a drain, which is derived from its selector. */
  static String defaultName(JsonNode selector) {
    return "drain-" + Integer.toHexString(selector.toString().hashCode());
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    JsonNode parsed = SelectorParser.parse(selector);
    ObjectNode drain = Json.object().put("kind", "drains");
    drain.put("name", drainName == null ? defaultName(parsed) : drainName);
    drain.putObject("spec").put("kind", "endpoints").set("selector", parsed);
    ResourceClient resources = new ResourceClient(client);
    long version = resources.put(drain, 0).path("version").asLong();
    Set<String> endpoints = new TreeSet<>();
    resources
        .list("endpoints", parsed)
        .forEach(endpoint -> endpoints.add(endpoint.path("name").asText()));
    out.line(ResourceFile.key(drain) + " at version " + version + " drains " + endpoints);
    if (!wait.isEnabled()) {
      return ExitCode.OK;
    }
    ChangeWaiter waiter = wait.waiter(client, out);
    ExitCode result = waiter.awaitVersion(version);
    return result == ExitCode.OK ? waiter.awaitIdle(endpoints) : result;
  }
}
