package org.sycamoretrack.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.sycamoretrack.cli.process.ExitCode;

/** Waits until a change has taken effect, and prints the progress. */
final class ChangeWaiter {
  private static final long POLL_INTERVAL_MS = 250;

  /** The state of a node may be up to a second old and not yet include work that just started. */
  private static final long REQUIRED_IDLE_MS = 2_000;

  private final OperatorClient client;
  private final CommandOutput out;
  private final long deadlineNanos;

  ChangeWaiter(OperatorClient client, CommandOutput out, int timeoutS) {
    this.client = client;
    this.out = out;
    this.deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
  }

  /** Waits until a version is in force on all live nodes. */
  ExitCode awaitVersion(long version) {
    String lastProgress = "";
    while (true) {
      DeploymentState deployment = DeploymentState.read(client);
      Set<String> behind = deployment.nodesBehind(version);
      if (behind.isEmpty()) {
        out.line(
            "version "
                + version
                + " is in force on all "
                + deployment.liveVersions().size()
                + " nodes");
        return ExitCode.OK;
      }
      String progress = "version " + version + " is not in force yet on " + behind;
      if (!progress.equals(lastProgress)) {
        out.line(progress);
        lastProgress = progress;
      }
      if (pauseAndCheckDeadline()) {
        deployment
            .unreachable()
            .forEach((nodeId, problem) -> out.line(nodeId + " can't be reached: " + problem));
        return ExitCode.INCOMPLETE;
      }
    }
  }

  /** Waits until no responding node has had work in flight on the endpoints for a while. */
  ExitCode awaitIdle(Set<String> endpoints) {
    String lastProgress = "";
    long lastBusyNanos = System.nanoTime();
    while (true) {
      Set<String> busy = busyEndpoints(endpoints);
      if (!busy.isEmpty()) {
        lastBusyNanos = System.nanoTime();
      } else if (System.nanoTime() - lastBusyNanos
          >= TimeUnit.MILLISECONDS.toNanos(REQUIRED_IDLE_MS)) {
        out.line("drained " + endpoints);
        return ExitCode.OK;
      }
      String progress = "work in flight on " + busy;
      if (!busy.isEmpty() && !progress.equals(lastProgress)) {
        out.line(progress);
        lastProgress = progress;
      }
      if (pauseAndCheckDeadline()) {
        return ExitCode.INCOMPLETE;
      }
    }
  }

  private Set<String> busyEndpoints(Set<String> endpoints) {
    Set<String> busy = new TreeSet<>();
    for (JsonNode state : DeploymentState.read(client).states().values()) {
      for (JsonNode endpoint : state.at("/requests/endpoints")) {
        String name = endpoint.path("name").asText();
        if (endpoints.contains(name) && endpoint.path("inFlight").asInt() > 0) {
          busy.add(name);
        }
      }
    }
    return busy;
  }

  /** Waits for one poll interval. Returns whether the deadline has passed. */
  private boolean pauseAndCheckDeadline() {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
    return System.nanoTime() - deadlineNanos >= 0;
  }
}
