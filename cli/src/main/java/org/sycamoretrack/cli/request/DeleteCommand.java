package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;

/** Removes a resource. */
@Parameters(commandDescription = "Remove a resource")
public final class DeleteCommand implements Command {
  @Parameter(description = "KIND NAME", required = true)
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--if-version",
      description = "remove the resource only if it has this version")
  private long ifVersion;

  @ParametersDelegate private final WaitOptions wait = new WaitOptions();

  @Override
  public String name() {
    return "delete";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack delete endpoints modellhall-3 --if-version 12 --wait"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    if (arguments.size() != 2) {
      throw CliException.usage("delete takes KIND NAME", "sycamoretrack help delete");
    }
    long version =
        new ResourceClient(client)
            .delete(arguments.get(0), arguments.get(1), ifVersion)
            .path("version")
            .asLong();
    out.line(String.join("/", arguments) + " removed at version " + version);
    return wait.isEnabled() ? wait.waiter(client, out).awaitVersion(version) : ExitCode.OK;
  }
}
