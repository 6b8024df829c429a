package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.sycamoretrack.cli.process.ExitCode;

/** Validates a resource file on a node without changing anything. */
@Parameters(commandDescription = "Validate a file of resources and show all errors")
public final class ValidateCommand implements Command {
  @ParametersDelegate private final FileOption file = new FileOption();

  @Override
  public String name() {
    return "validate";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack validate -f pools.json"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    int count = new ResourceClient(client).validate(file.read()).size();
    out.line(count + (count == 1 ? " resource is valid" : " resources are valid"));
    return ExitCode.OK;
  }
}
