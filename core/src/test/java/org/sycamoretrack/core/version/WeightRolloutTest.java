package org.sycamoretrack.core.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.version.WeightRollout.Command;

/** Tests of {@link WeightRollout} with fake engines and a simulated clock. */
class WeightRolloutTest {
  private static final int STEP_MS = 20;
  private static final int LOAD_MS = 300;
  private static final long LIMIT_MS = 120_000;
  private static final RolloutTimings TIMINGS =
      new RolloutTimings(1_000, 100, 8_000, 5_000, 250, 2_000);

  /** The fault of the next load of an engine. */
  private enum LoadFault {
    NONE,
    FAILS,
    PARTIAL,
    MISREPORTED,
    REFUSED,
    RESPONSE_LOST
  }

  /** An engine that responds immediately and takes {@link #LOAD_MS} to load. */
  private static final class FakeEngine {
    final List<Long> loadCommandTimesMs = new ArrayList<>();
    LoadFault nextFault = LoadFault.NONE;
    boolean up = true;
    long chunkVersion = 1;
    long reportedVersion = 1;
    long loading = WeightRollout.UNKNOWN_VERSION;
    long loadedAtMs;
    LoadFault fault = LoadFault.NONE;

    void startLoad(long version, long nowMs) {
      loadCommandTimesMs.add(nowMs);
      fault = nextFault;
      nextFault = LoadFault.NONE;
      if (fault != LoadFault.REFUSED) {
        loading = version;
        loadedAtMs = nowMs + LOAD_MS;
      }
    }

    void advance(long nowMs) {
      boolean ends = loading != WeightRollout.UNKNOWN_VERSION && nowMs >= loadedAtMs;
      if (!ends || fault == LoadFault.PARTIAL) {
        return;
      }
      if (fault != LoadFault.FAILS) {
        reportedVersion = loading;
      }
      if (fault == LoadFault.NONE || fault == LoadFault.RESPONSE_LOST) {
        chunkVersion = loading;
      }
      loading = WeightRollout.UNKNOWN_VERSION;
    }

    void restart() {
      chunkVersion = 1;
      reportedVersion = 1;
      loading = WeightRollout.UNKNOWN_VERSION;
    }
  }

  private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
  private final WeightRollout rollout = new WeightRollout(TIMINGS, new Random(1));
  private final List<String> drained = new ArrayList<>();
  private long nowMs;
  private long target = 2;
  private long epoch = 1;
  private double loadsPerSecond = 4;
  private double floorShare = 0.5;
  private int maxOutOfService;
  private int maxFailedLoads;

  private void addEngines(int count) {
    for (int i = 0; i < count; i++) {
      engines.put("e" + (10 + i), new FakeEngine());
    }
  }

  private FakeEngine engine(int index) {
    return engines.get("e" + (10 + index));
  }

  private void tick() {
    nowMs += STEP_MS;
    engines.values().forEach(engine -> engine.advance(nowMs));
    List<WeightRollout.Engine> states =
        engines.keySet().stream()
            .map(name -> new WeightRollout.Engine(name, !drained.contains(name), 0, true))
            .toList();
    WeightRollout.PoolState poolState =
        new WeightRollout.PoolState(target, epoch, loadsPerSecond, floorShare, states);
    rollout.plan(poolState, nowMs).forEach(this::execute);
    int out = (int) rollout.statuses().stream().filter(RolloutStatus::outOfService).count();
    maxOutOfService = Math.max(maxOutOfService, out);
    for (RolloutStatus status : rollout.statuses()) {
      maxFailedLoads = Math.max(maxFailedLoads, status.failedLoads());
    }
  }

  private void execute(Command command) {
    String name = command.endpoint();
    FakeEngine engine = engines.get(name);
    switch (command) {
      case Command.Read read when !engine.up -> rollout.onReadFailed(read.endpoint(), nowMs);
      case Command.Read read ->
          rollout.onRead(read.endpoint(), engine.reportedVersion, engine.loading, nowMs);
      case Command.Probe probe when !engine.up -> rollout.onProbeFailed(probe.endpoint(), nowMs);
      case Command.Probe probe -> rollout.onProbed(probe.endpoint(), engine.chunkVersion, nowMs);
      case Command.Load load -> {
        assertThat(load.epoch()).isEqualTo(epoch).isPositive();
        if (engine.up) {
          engine.startLoad(load.version(), nowMs);
        }
        rollout.onLoadCommandSettled(name, nowMs);
      }
    }
  }

  private void runUntil(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      tick();
      assertThat(nowMs).as("elapsed time of the rollout").isLessThan(LIMIT_MS);
    }
  }

  private void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    runUntil(() -> nowMs >= endMs);
  }

  private boolean allVerified() {
    return rollout.statuses().size() == engines.size()
        && rollout.statuses().stream()
            .allMatch(status -> status.verified() && status.servedVersion() >= target);
  }

  private long loadCommandCount() {
    return engines.values().stream().mapToLong(engine -> engine.loadCommandTimesMs.size()).sum();
  }

  @ParameterizedTest
  @CsvSource({"1, 4, 0.5", "8, 4, 0.5", "24, 8, 0.5", "24, 16, 0.75", "100, 50, 0.5"})
  void durationIsCloseToTheRateLimit(int count, double rate, double floor) {
    addEngines(count);
    loadsPerSecond = rate;
    floorShare = floor;
    runUntil(this::allVerified);
    assertThat(loadCommandCount()).isEqualTo(count);
    double limitMs = (count - 1) / rate * 1_000 + LOAD_MS;
    assertThat((double) nowMs).isLessThan(1.15 * limitMs + 3 * TIMINGS.loadingReadIntervalMs());
    assertThat(nowMs).isGreaterThan((long) ((count - 2) / rate * 1_000 * 0.9));
  }

  @ParameterizedTest
  @CsvSource({"8, 0.5, 4", "8, 0.75, 2", "8, 1.0, 0", "3, 0.5, 1", "1, 0.5, 0", "2, 0.5, 1"})
  void keepsTheMinimumInService(int count, double floor, int mostOut) {
    addEngines(count);
    loadsPerSecond = 1_000;
    floorShare = floor;
    runUntil(this::allVerified);
    assertThat(maxOutOfService).isEqualTo(mostOut);
  }

  @Test
  void unreachableEnginesCountAsOutOfServiceAndDontStopTheRollout() {
    addEngines(6);
    loadsPerSecond = 1_000;
    for (int i = 0; i < 4; i++) {
      engine(i).up = false;
    }
    runUntil(() -> engine(4).chunkVersion == 2 && engine(5).chunkVersion == 2);
    assertThat(maxOutOfService).isZero();
    assertThat(engine(4).loadCommandTimesMs.get(0) - engine(5).loadCommandTimesMs.get(0))
        .as("loaded in place, one after the other")
        .matches(distanceMs -> Math.abs(distanceMs) >= LOAD_MS);
  }

  @Test
  void drainedEnginesAreLoadedFirst() {
    addEngines(4);
    floorShare = 0.75;
    loadsPerSecond = 1;
    drained.add("e13");
    runUntil(this::allVerified);
    long first = engine(3).loadCommandTimesMs.get(0);
    assertThat(engines.values()).allMatch(engine -> engine.loadCommandTimesMs.get(0) >= first);
  }

  @ParameterizedTest
  @EnumSource(LoadFault.class)
  void repeatsFailedLoads(LoadFault fault) {
    addEngines(3);
    engine(1).nextFault = fault;
    runUntil(this::allVerified);
    assertThat(engines.values()).allMatch(engine -> engine.chunkVersion == 2);
    boolean repeated = fault != LoadFault.NONE && fault != LoadFault.RESPONSE_LOST;
    assertThat(engine(1).loadCommandTimesMs).hasSize(repeated ? 2 : 1);
    assertThat(maxFailedLoads).isEqualTo(repeated ? 1 : 0);
    assertThat(rollout.statuses()).noneMatch(RolloutStatus::outOfService);
  }

  @Test
  void failedLoadsAreCountedUntilOneSucceeds() {
    addEngines(1);
    engine(0).nextFault = LoadFault.FAILS;
    runUntil(
        () -> {
          engine(0).nextFault = LoadFault.FAILS;
          return engine(0).loadCommandTimesMs.size() == 6;
        });
    assertThat(rollout.statuses().get(0).failedLoads()).isEqualTo(5);
    engine(0).nextFault = LoadFault.NONE;
    runUntil(this::allVerified);
    assertThat(rollout.statuses().get(0).failedLoads()).isZero();
  }

  @Test
  void misreportedLoadIsNeverVerified() {
    addEngines(1);
    engine(0).nextFault = LoadFault.MISREPORTED;
    runUntil(
        () -> {
          RolloutStatus status = rollout.statuses().stream().findFirst().orElse(null);
          boolean claimsTarget = status != null && status.verified() && status.servedVersion() == 2;
          assertThat(claimsTarget && engine(0).chunkVersion != 2).isFalse();
          return claimsTarget;
        });
  }

  @Test
  void sendsNoLoadCommandsWithoutAnEpoch() {
    addEngines(4);
    epoch = 0;
    runFor(30_000);
    assertThat(loadCommandCount()).isZero();
    assertThat(rollout.statuses()).allMatch(status -> status.servedVersion() == 1);
  }

  @Test
  void restartedEngineIsLoadedAgain() {
    addEngines(2);
    runUntil(this::allVerified);
    engine(0).up = false;
    runFor(2_000);
    engine(0).restart();
    engine(0).up = true;
    runUntil(() -> engine(0).chunkVersion == 2);
    assertThat(engine(0).loadCommandTimesMs).hasSize(2);
    assertThat(engine(1).loadCommandTimesMs).hasSize(1);
  }

  @Test
  void unreportedFallbackIsFoundByTheNextVerification() {
    addEngines(1);
    runUntil(this::allVerified);
    engine(0).chunkVersion = 1;
    long fallbackMs = nowMs;
    runUntil(() -> engine(0).chunkVersion == 2);
    assertThat(engine(0).loadCommandTimesMs).hasSize(2);
    assertThat(nowMs - fallbackMs).isLessThan(TIMINGS.verificationIntervalMs() + 2 * LOAD_MS);
    runFor(3 * TIMINGS.verificationIntervalMs());
    assertThat(engine(0).loadCommandTimesMs).hasSize(2);
  }

  @Test
  void leavesNewerVersionsAlone() {
    addEngines(2);
    engine(0).chunkVersion = 5;
    engine(0).reportedVersion = 5;
    runUntil(this::allVerified);
    assertThat(engine(0).loadCommandTimesMs).isEmpty();
  }

  @Test
  void newLeaseHolderLetsRunningLoadsFinish() {
    addEngines(1);
    engine(0).startLoad(2, 0);
    runUntil(this::allVerified);
    assertThat(engine(0).loadCommandTimesMs).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"4, 0.5, false, true", "4, 0.5, true, false", "1, 0.5, false, false"})
  void loadsOfOtherNodesCountAsOutOfServiceWithinTheFloor(
      int count, double floor, boolean othersDrained, boolean out) {
    addEngines(count);
    epoch = 0;
    floorShare = floor;
    if (othersDrained) {
      drained.addAll(List.of("e11", "e12"));
    }
    runFor(1_000);
    engine(0).loading = 2;
    engine(0).loadedAtMs = Long.MAX_VALUE;
    runFor(1_100);
    assertThat(rollout.statuses().get(0).outOfService()).isEqualTo(out);
  }

  @Test
  void droppedLoadCommandIsRepeated() {
    addEngines(1);
    WeightRollout.PoolState poolState =
        new WeightRollout.PoolState(
            2, 1, 100, 0, List.of(new WeightRollout.Engine("e10", true, 0, true)));
    rollout.plan(poolState, 0);
    rollout.onRead("e10", 1, WeightRollout.UNKNOWN_VERSION, 0);
    assertThat(rollout.plan(poolState, 20)).contains(new Command.Load("e10", 2, 1));
    rollout.onLoadCommandDropped("e10");
    assertThat(rollout.plan(poolState, 40)).contains(new Command.Load("e10", 2, 1));
  }
}
