package org.sycamoretrack.daemon.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.core.version.RolloutStatus;
import org.sycamoretrack.core.version.RolloutTimings;
import org.sycamoretrack.daemon.client.HttpEngineClient;
import org.sycamoretrack.daemon.client.HttpTableStore;
import org.sycamoretrack.daemon.client.HttpWeightStore;
import org.sycamoretrack.daemon.process.ControlAgent;
import org.sycamoretrack.daemon.process.LeaseService;
import org.sycamoretrack.standins.process.EngineSettings;
import org.sycamoretrack.standins.process.EngineStandin;
import org.sycamoretrack.standins.process.Fault;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.standins.process.PlatformStandin;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;

/**
 * Tests of {@link WeightRolloutService} with the HTTP clients against the stand-ins. They guard
 * against engines that remain at an old version after a failed load, a failed response to a load
 * command or a restart, and against loads beyond the rate limit of the weight store.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class WeightRolloutOverHttpTest {
  private static final int ENGINES = 4;
  private static final int CALL_TIMEOUT_MS = 1_000;
  private static final RolloutTimings TIMINGS = new RolloutTimings(200, 50, 5_000, 1_500, 100, 500);
  private static final LeaseTimings LEASE = new LeaseTimings(10_000, 2_000, 3_000, 200);

  private final EventLoopGroup group = EventLoops.start("test", 2);
  private final PlatformStandin platform =
      PlatformStandin.builder().group(group).fetchLimit(20, 4).start();
  private final List<EngineStandin> engines = new ArrayList<>();
  private final ControlAgent agent = new ControlAgent(1_024, new SystemNanoClock(), new Random(1));
  private WeightRolloutService service;

  @BeforeEach
  void start() {
    EngineSettings settings =
        EngineSettings.builder()
            .weightStore(platform.address())
            .model("sampler")
            .tokens(100, 4)
            .load(50, 2)
            .build();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(EngineStandin.start(group, 0, settings));
    }
    HttpClient client = new HttpClient(group, CALL_TIMEOUT_MS);
    HttpTableStore table = new HttpTableStore(client, platform.address(), CALL_TIMEOUT_MS);
    LeaseService lease =
        new LeaseService(
            table,
            new LeaseService.Holder("svea-a-1", "1", "127.0.0.1:1", "svea-a"),
            LEASE,
            new SystemNanoClock(),
            agent::execute);
    service =
        WeightRolloutService.builder()
            .node("svea-a-1", NodeLease.of(lease))
            .platform(table, new HttpWeightStore(client, platform.address(), CALL_TIMEOUT_MS))
            .engines(new HttpEngineClient(client, CALL_TIMEOUT_MS))
            .context(new OwnerOfAllGroups(configuration()))
            .runtime(new SystemNanoClock(), new Random(1), agent::execute)
            .timings(TIMINGS, LEASE.pauseMarginMs())
            .loadsPerSecond(20)
            .build();
    agent.scheduleAtFixedRate("lease", 20, 0, lease::poll);
    agent.scheduleAtFixedRate("rollout", 20, 0, service::poll);
    agent.start();
  }

  @AfterEach
  void stop() {
    agent.close();
    engines.forEach(EngineStandin::close);
    platform.close();
    EventLoops.stop(group);
  }

  private Configuration configuration() {
    List<Resource> resources = new ArrayList<>();
    ResourceSpec pool = new ResourceSpec.PoolSpec(PoolType.MODEL, "sampler", true, 0.5);
    resources.add(new Resource("modellhall", Map.of(), 1, pool));
    for (int i = 0; i < ENGINES; i++) {
      int port = engines.get(i).address().getPort();
      ResourceSpec spec = new ResourceSpec.EndpointSpec("modellhall", "127.0.0.1", port, "svea-a");
      resources.add(new Resource("e" + i, Map.of(), 1, spec));
    }
    return new Configuration(1, resources);
  }

  /** A node that owns all groups and has no traffic. */
  private record OwnerOfAllGroups(Configuration configuration) implements RolloutContext {
    @Override
    public boolean owns(RolloutGroup group) {
      return true;
    }

    @Override
    public boolean sendsWorkTo(String endpoint) {
      return true;
    }

    @Override
    public boolean isInService(String endpoint) {
      return true;
    }

    @Override
    public int inFlight(String endpoint) {
      return 0;
    }
  }

  private static void await(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      LockSupport.parkNanos(1_000_000);
    }
  }

  private boolean allVerified(long version) {
    return service.view().endpoints().size() == ENGINES
        && service.view().endpoints().values().stream()
            .allMatch(status -> status.verified() && status.servedVersion() == version);
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {"LOAD_FAILS", "LOAD_PARTIAL", "LOAD_MISREPORTED"})
  void repeatsFailedLoads(FaultKind kind) {
    await(() -> allVerified(1));
    engines.get(1).faults().add(Fault.builder(kind).times(1).build());
    engines.get(2).faults().add(Fault.builder(kind).times(2).build());
    platform.weights().publish("sampler", 2);
    await(() -> allVerified(2));
    assertThat(engines.get(2).faults().occurred()).isEqualTo(2);
    assertThat(service.view().endpoints().values()).noneMatch(RolloutStatus::outOfService);
  }

  @ParameterizedTest
  @EnumSource(
      value = FaultKind.class,
      names = {"LOST_ANSWER", "REFUSED", "OUTAGE", "MALFORMED", "STALLED", "CUT_OFF"})
  void recoversFromFailedLoadCommandResponses(FaultKind kind) {
    await(() -> allVerified(1));
    for (EngineStandin engine : engines) {
      engine.faults().add(Fault.builder(kind).path("/orders").times(1).build());
    }
    platform.weights().publish("sampler", 2);
    await(() -> allVerified(2));
    assertThat(engines).allMatch(engine -> engine.faults().occurred() == 1);
  }

  @Test
  void reloadsARestartedEngineWithinTheRateLimitOfTheStore() {
    platform.weights().publish("sampler", 2);
    await(() -> allVerified(2));
    engines.get(0).crash().join();
    engines.get(0).restart().join();
    await(() -> !allVerified(2));
    await(() -> allVerified(2));
    assertThat(platform.weights().refusals()).isZero();
  }
}
