package org.sycamoretrack.daemon.version;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.core.version.RolloutStatus;
import org.sycamoretrack.core.version.WeightRollout;
import org.sycamoretrack.core.version.WeightRollout.Command;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Executes the rollout plan of one group. Confined to the control thread.
 *
 * <p>A plan uses the epoch at the time of planning. The epoch is checked again, against the clock
 * and the lease, immediately before each load command is sent, since the thread may have been
 * paused in between.
 *
 * <p>While a load is in progress, each result of a call triggers a new plan, so that the next load
 * starts as soon as one ends instead of at the next poll.
 */
final class GroupRollout {
  private static final System.Logger LOG = System.getLogger(GroupRollout.class.getName());

  /**
   * The current configuration of a group: its pool, the addresses of its engines by endpoint name,
   * and its rate limit of load commands.
   */
  record GroupConfig(
      ResourceSpec.PoolSpec pool,
      Map<String, InetSocketAddress> addresses,
      double loadsPerSecond) {}

  private final RolloutGroup group;
  private final String nodeId;
  private final RolloutEpoch rolloutEpoch;
  private final WeightRollout rollout;
  private final EngineClient engines;
  private final ControlInbox inbox;
  private final LongSupplier nowMs;
  private int pendingLoadCommands;
  private long callCount;
  private GroupConfig config;
  private RolloutContext context;
  private long targetVersion;
  private boolean planning;

  GroupRollout(
      RolloutGroup group,
      String nodeId,
      RolloutEpoch rolloutEpoch,
      WeightRollout rollout,
      EngineClient engines,
      ControlInbox inbox,
      LongSupplier nowMs) {
    this.group = group;
    this.nodeId = nodeId;
    this.rolloutEpoch = rolloutEpoch;
    this.rollout = rollout;
    this.engines = engines;
    this.inbox = inbox;
    this.nowMs = nowMs;
  }

  /**
   * Acquires or releases the epoch as needed, plans, and executes the plan.
   *
   * @param current the current configuration of the group
   * @param context the state of the node that rollouts depend on
   * @param targetVersion the version that the engines should serve
   */
  void poll(GroupConfig current, RolloutContext context, long targetVersion) {
    this.config = current;
    this.context = context;
    this.targetVersion = targetVersion;
    rolloutEpoch.poll(context.owns(group), pendingLoadCommands > 0);
    plan();
  }

  private void plan() {
    planning = true;
    boolean owns = context.owns(group);
    List<WeightRollout.Engine> groupEngines =
        config.addresses().keySet().stream().map(name -> engine(name, owns, context)).toList();
    WeightRollout.PoolState poolState =
        new WeightRollout.PoolState(
            targetVersion,
            owns ? epoch() : 0,
            config.loadsPerSecond(),
            config.pool().floorShare(),
            groupEngines);
    rollout.plan(poolState, nowMs.getAsLong()).forEach(this::execute);
    planning = false;
  }

  /**
   * Handles the result of a call and plans again if a load was in progress before or is in progress
   * after.
   */
  private <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    inbox.onResult(
        stage,
        (value, failure) -> {
          boolean loading = rollout.isLoading();
          action.accept(value, failure);
          if (!planning && (loading || rollout.isLoading())) {
            plan();
          }
        });
  }

  /**
   * Returns whether this node holds or is changing the epoch, so that the group must be polled even
   * when another node owns it.
   */
  boolean isHolding() {
    return rolloutEpoch.isHolding();
  }

  private static WeightRollout.Engine engine(String name, boolean owns, RolloutContext context) {
    return new WeightRollout.Engine(
        name, context.isInService(name), context.inFlight(name), owns || context.sendsWorkTo(name));
  }

  private long epoch() {
    return rolloutEpoch.epoch(config.pool().checksFence());
  }

  private void execute(Command command) {
    InetSocketAddress address = config.addresses().get(command.endpoint());
    switch (command) {
      case Command.Read read -> read(read.endpoint(), address);
      case Command.Probe probe -> probe(probe.endpoint(), address);
      case Command.Load load -> sendLoadCommand(load, address);
    }
  }

  private void read(String endpoint, InetSocketAddress address) {
    onResult(
        engines.weights(address),
        (weights, failure) -> {
          if (failure == null) {
            rolloutEpoch.onFenceSeen(weights.fence());
            rollout.onRead(endpoint, weights.version(), weights.loading(), nowMs.getAsLong());
          } else {
            rollout.onReadFailed(endpoint, nowMs.getAsLong());
          }
        });
  }

  private void probe(String endpoint, InetSocketAddress address) {
    onResult(
        VersionProbe.send(engines, address, config.pool().model(), callId("weight-probe")),
        (version, failure) -> {
          if (failure == null) {
            rollout.onProbed(endpoint, version, nowMs.getAsLong());
          } else {
            rollout.onProbeFailed(endpoint, nowMs.getAsLong());
          }
        });
  }

  private String callId(String kind) {
    callCount++;
    return kind + "/" + nodeId + "/" + group.key() + "/" + callCount;
  }

  private void sendLoadCommand(Command.Load load, InetSocketAddress address) {
    EngineClient.EngineLoadCommand command =
        new EngineClient.EngineLoadCommand(
            callId("weight-order"), load.version(), load.epoch(), nodeId);
    if (epoch() != load.epoch()) {
      rollout.onLoadCommandDropped(load.endpoint());
      log("weight-order-dropped", load);
      return;
    }
    pendingLoadCommands++;
    onResult(
        engines.sendLoadCommand(address, command),
        (response, failure) -> onLoadCommandResponse(load, response));
    log("weight-order-sent", load);
  }

  private void onLoadCommandResponse(
      Command.Load load, EngineClient.EngineLoadCommandResponse response) {
    pendingLoadCommands--;
    rollout.onLoadCommandSettled(load.endpoint(), nowMs.getAsLong());
    if (response == EngineClient.EngineLoadCommandResponse.STALE_FENCE) {
      rolloutEpoch.invalidate();
    }
  }

  private static void log(String name, Command.Load load) {
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of(name)
            .with("endpoint", load.endpoint())
            .with("version", load.version())
            .with("epoch", load.epoch()));
  }

  /** Returns the status of each engine whose version is known, by endpoint name. */
  Map<String, RolloutStatus> statuses() {
    return rollout.statuses().stream()
        .filter(status -> status.servedVersion() != WeightRollout.UNKNOWN_VERSION)
        .collect(Collectors.toMap(RolloutStatus::endpoint, status -> status));
  }

  /** Returns the group for {@link RolloutView}. */
  RolloutView.OwnedGroup view() {
    return new RolloutView.OwnedGroup(group, epoch(), rollout.isLoading());
  }
}
