package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.sycamoretrack.cli.process.CliException;
import org.sycamoretrack.cli.process.ExitCode;

/** Ends a drain. */
@Parameters(commandDescription = "End a drain, by its name or its selector")
public final class UndrainCommand implements Command {
  @Parameter(description = "[NAME]")
  private List<String> names = new ArrayList<>();

  @Parameter(names = "--selector", description = "the selector that the drain was created with")
  private String selector;

  @ParametersDelegate private final WaitOptions wait = new WaitOptions();

  @Override
  public String name() {
    return "undrain";
  }

  @Override
  public String[] examples() {
    return new String[] {
      "sycamoretrack undrain --selector zone=svea-a --wait", "sycamoretrack undrain half"
    };
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    if (names.size() + (selector == null ? 0 : 1) != 1) {
      throw CliException.usage(
          "undrain takes one NAME or --selector", "get drains lists the names");
    }
    String drain =
        selector == null ? names.get(0) : DrainCommand.defaultName(SelectorParser.parse(selector));
    long version = new ResourceClient(client).delete("drains", drain, 0).path("version").asLong();
    out.line("drains/" + drain + " removed at version " + version);
    return wait.isEnabled() ? wait.waiter(client, out).awaitVersion(version) : ExitCode.OK;
  }
}
