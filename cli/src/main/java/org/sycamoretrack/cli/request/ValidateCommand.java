package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.sycamoretrack.cli.process.ExitCode;

/** Has a node find all mistakes in a file, and changes nothing. */
@Parameters(commandDescription = "Find the mistakes in a file of resources")
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
