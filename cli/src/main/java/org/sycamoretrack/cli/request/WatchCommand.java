package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.sycamoretrack.cli.process.ExitCode;

/** Prints a line whenever the status of a node changes. */
@Parameters(commandDescription = "Print the status of nodes whenever it changes")
public final class WatchCommand implements Command {
  @Parameter(names = "--period-ms", description = "polling interval, in milliseconds")
  private int periodMs = 1_000;

  @Parameter(names = "--count", description = "number of polls; 0 for no limit")
  private int count;

  @Override
  public String name() {
    return "watch";
  }

  @Override
  public String[] examples() {
    return new String[] {"sycamoretrack watch --period-ms 500 --count 10"};
  }

  @Override
  public ExitCode run(OperatorClient client, CommandOutput out) {
    List<List<String>> previous = List.of();
    for (int poll = 0; count == 0 || poll < count; poll++) {
      if (poll > 0) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(periodMs));
      }
      List<List<String>> rows = rows(DeploymentState.read(client));
      for (List<String> row : rows) {
        if (!previous.contains(row)) {
          out.line(String.join("  ", row));
        }
      }
      previous = rows;
    }
    return ExitCode.OK;
  }

  private static List<List<String>> rows(DeploymentState deployment) {
    List<List<String>> rows = new ArrayList<>();
    for (List<String> status : StatusCommand.rows(deployment)) {
      rows.add(
          List.of(
              status.get(0),
              "version=" + status.get(1),
              "lease=" + status.get(2),
              "members=" + status.get(4),
              "in-service=" + status.get(6),
              "drained=" + status.get(7)));
    }
    deployment.unreachable().keySet().forEach(node -> rows.add(List.of(node, "can't be reached")));
    return rows;
  }
}
