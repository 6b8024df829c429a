package org.sycamoretrack.cli.request;

import com.beust.jcommander.Parameter;

/** The options of commands that can wait until their change has taken effect. */
public final class WaitOptions {
  @Parameter(names = "--wait", description = "wait until the change is in force on all live nodes")
  private boolean wait;

  @Parameter(names = "--timeout-s", description = "maximum time to wait, in seconds")
  private int timeoutS = 30;

  boolean isEnabled() {
    return wait;
  }

  ChangeWaiter waiter(OperatorClient client, CommandOutput out) {
    return new ChangeWaiter(client, out, timeoutS);
  }
}
