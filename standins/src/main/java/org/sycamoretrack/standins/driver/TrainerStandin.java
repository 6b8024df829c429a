package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Simulates a trainer: starting with the newest published weight version, it collects the samples
 * of each step, waits for the simulated training time and publishes the next version.
 */
public final class TrainerStandin {
  private static final int PLATFORM_ATTEMPTS = 100;
  private static final int PLATFORM_RETRY_DELAY_MS = 200;

  private final DriverContext context;
  private final Deployment.Trainer trainer;
  private final TrainerOptions options;
  private final AtomicInteger received = new AtomicInteger();
  private volatile boolean stopRequested;

  /**
   * Creates a trainer.
   *
   * @param context client, balancer and history, shared with other trainers and callers
   * @param trainer the trainer as the deployment defines it
   * @param options further options
   */
  public TrainerStandin(DriverContext context, Deployment.Trainer trainer, TrainerOptions options) {
    this.context = context;
    this.trainer = trainer;
    this.options = options;
  }

  /** Returns the number of samples received so far. */
  public int receivedCount() {
    return received.get();
  }

  /** Stops the trainer after the current step. */
  public void requestStop() {
    stopRequested = true;
  }

  /** Runs all steps, or until a stop is requested, and returns the counters. */
  public TrainerReport run() {
    TrainerReport total = TrainerReport.ZERO;
    int trainsVersion = versions().path("latest").asInt();
    for (int step = 0; step < trainer.steps() && !stopRequested; step++) {
      StepRun run = new StepRun(context, trainer, step, trainsVersion, options, received);
      total = total.plus(run.run()).plus(countUnknownVersions(run.versions()));
      DriverContext.pause(trainer.trainTimeMs());
      trainsVersion = publishNext();
    }
    return total;
  }

  private TrainerReport countUnknownVersions(Set<Integer> namedVersions) {
    Set<Integer> unknown = new HashSet<>(namedVersions);
    versions().path("versions").forEach(version -> unknown.remove(version.asInt()));
    return new TrainerReport(0, 0, 0, 0, 0, 0, unknown.size(), 0, 0);
  }

  private JsonNode versions() {
    return callPlatform("GET", "/models/" + trainer.pool() + "/versions");
  }

  private int publishNext() {
    int next = versions().path("latest").asInt() + 1;
    callPlatform("PUT", "/models/" + trainer.pool() + "/versions/" + next);
    return next;
  }

  private JsonNode callPlatform(String method, String target) {
    for (int attempt = 0; attempt < PLATFORM_ATTEMPTS; attempt++) {
      try {
        HttpResponse response =
            context.call(HttpRequest.builder(method, context.platform(), target).build());
        if (response.status() == 200) {
          return response.json();
        }
      } catch (HttpException e) {
        // Outage of the platform: retried after the delay below.
      }
      DriverContext.pause(PLATFORM_RETRY_DELAY_MS);
    }
    throw new IllegalStateException("the platform does not respond to " + method + " " + target);
  }
}
