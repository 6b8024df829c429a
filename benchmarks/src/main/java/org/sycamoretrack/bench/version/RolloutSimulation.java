package org.sycamoretrack.bench.version;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.sycamoretrack.bench.connection.VirtualTime;
import org.sycamoretrack.core.version.RolloutTimings;
import org.sycamoretrack.core.version.WeightRollout;
import org.sycamoretrack.core.version.WeightRollout.Command;

/**
 * Simulates the rollout of a weight version to a group of engines in virtual time.
 *
 * <p>Engines respond after a short delay, load for some seconds and may fail to load. The rate of
 * load commands is limited, the number of concurrent loads at the weight store is not.
 */
public final class RolloutSimulation {
  private static final double PLAN_INTERVAL_MS = 100;
  private static final double CALL_MS = 2;
  private static final double PROBE_MS = 60;
  private static final double TIMEOUT_MS = 600_000;

  private final VirtualTime time = new VirtualTime();
  private final WeightRollout rollout;
  private final SplittableRandom random;
  private final List<WeightRollout.Engine> engines = new ArrayList<>();
  private final long[] versions;
  private final long[] loadingVersions;
  private final double meanLoadMs;
  private final double failureShare;
  private long reads;
  private long loadCommands;
  private long plans;
  private long planNs;
  private int maxOutOfService;

  /**
   * Creates a group whose engines serve version 1.
   *
   * @param size how many engines there are
   * @param meanLoadMs the mean time of a load
   * @param failureShare the fraction of loads that fail
   * @param seed the seed of the random number generators
   */
  public RolloutSimulation(int size, double meanLoadMs, double failureShare, long seed) {
    this.random = new SplittableRandom(seed);
    this.rollout = new WeightRollout(RolloutTimings.DEFAULT, random.split());
    this.versions = new long[size];
    this.loadingVersions = new long[size];
    this.meanLoadMs = meanLoadMs;
    this.failureShare = failureShare;
    for (int i = 0; i < size; i++) {
      engines.add(new WeightRollout.Engine("sampler-" + i, true, 8, true));
      versions[i] = 1;
      loadingVersions[i] = WeightRollout.UNKNOWN_VERSION;
    }
  }

  /**
   * Rolls a version out.
   *
   * @param target the version
   * @param loadsPerSecond the rate of load commands that the weight store allows
   * @param floorShare the share of engines that stay in service
   * @return the time until every engine is verified to serve it, in milliseconds
   */
  public double rollOut(long target, double loadsPerSecond, double floorShare) {
    WeightRollout.PoolState initialState =
        new WeightRollout.PoolState(1, 1, loadsPerSecond, floorShare, engines);
    double settledMs = time.nowMs() + 5_000;
    while (time.nowMs() < settledMs) {
      plan(initialState);
    }
    reads = 0;
    planNs = 0;
    plans = 0;
    double startMs = time.nowMs();
    WeightRollout.PoolState poolState =
        new WeightRollout.PoolState(target, 1, loadsPerSecond, floorShare, engines);
    while (!isDone(target) && time.nowMs() < startMs + TIMEOUT_MS) {
      plan(poolState);
    }
    return time.nowMs() - startMs;
  }

  private boolean isDone(long target) {
    return rollout.statuses().stream()
        .allMatch(status -> status.servedVersion() >= target && status.verified());
  }

  private void plan(WeightRollout.PoolState poolState) {
    long startNs = System.nanoTime();
    List<Command> commands = rollout.plan(poolState, time.nowWholeMs());
    planNs += System.nanoTime() - startNs;
    plans++;
    commands.forEach(this::execute);
    int outOfService =
        (int) rollout.statuses().stream().filter(status -> status.outOfService()).count();
    maxOutOfService = Math.max(maxOutOfService, outOfService);
    time.runUntil(time.nowMs() + PLAN_INTERVAL_MS);
  }

  private void execute(Command command) {
    String name = command.endpoint();
    int index = Integer.parseInt(name.substring("sampler-".length()));
    switch (command) {
      case Command.Read read -> {
        reads++;
        time.after(
            CALL_MS,
            () -> rollout.onRead(name, versions[index], loadingVersions[index], time.nowWholeMs()));
      }
      case Command.Probe probe ->
          time.after(PROBE_MS, () -> rollout.onProbed(name, versions[index], time.nowWholeMs()));
      case Command.Load load -> loadWeights(index, load);
    }
  }

  private void loadWeights(int index, Command.Load load) {
    loadCommands++;
    loadingVersions[index] = load.version();
    boolean fails = random.nextDouble() < failureShare;
    time.after(CALL_MS, () -> rollout.onLoadCommandSettled(load.endpoint(), time.nowWholeMs()));
    time.after(
        meanLoadMs * random.nextDouble(0.8, 1.2),
        () -> {
          loadingVersions[index] = WeightRollout.UNKNOWN_VERSION;
          versions[index] = fails ? versions[index] : load.version();
        });
  }

  /** Returns the reads of engine state per second during the rollout. */
  public double readsPerS() {
    return reads / (plans * PLAN_INTERVAL_MS / 1_000);
  }

  /** Returns the number of load commands of all rollouts, including repeated ones. */
  public long loadCommands() {
    return loadCommands;
  }

  /** Returns the mean time to compute a plan in microseconds. */
  public double planMicros() {
    return planNs / 1e3 / plans;
  }

  /** Returns the fraction of a core that planning uses during the rollout. */
  public double planCpuShare() {
    return planMicros() / 1e3 / PLAN_INTERVAL_MS;
  }

  /** Returns the maximum number of engines that were out of service at the same time. */
  public int maxOutOfService() {
    return maxOutOfService;
  }
}
