package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;
import org.sycamoretrack.transport.request.HttpException;

/** Prints the complete state of one node. */
@Parameters(commandDescription = "Show the state of a node's process in JSON")
public final class DumpCommand implements Command {
  @Parameter(description = "NODE", required = true)
  private List<String> nodes = new ArrayList<>();

  @Override
  public String name() {
    return "dump";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack dump svea-a-1"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    if (nodes.size() != 1) {
      throw CliException.usage("dump takes one NODE", "the context file lists the nodes");
    }
    String node = nodes.get(0);
    try {
      out.json(
          OperatorClient.requireSuccess(client.call(node, "GET", "/state", null, Map.of()), node));
    } catch (HttpException e) {
      throw new CliException(
          ExitCode.UNREACHABLE,
          "peer-unavailable",
          node + " can't be reached: " + e.getMessage(),
          "status shows which nodes can be reached");
    }
    return ExitCode.OK;
  }
}
