package org.sycamoretrack.daemon.version;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.agrona.concurrent.NanoClock;
import org.sycamoretrack.core.process.MembershipView;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.ResourceSpec;
import org.sycamoretrack.core.version.RolloutStatus;
import org.sycamoretrack.core.version.RolloutTimes;
import org.sycamoretrack.core.version.WeightRollout;
import org.sycamoretrack.daemon.farend.EngineClient;
import org.sycamoretrack.daemon.farend.TableStore;
import org.sycamoretrack.daemon.farend.WeightStore;
import org.sycamoretrack.daemon.process.ControlInbox;

/**
 * Brings the engines of all model pools to the newest weights.
 *
 * <p>The engines of a pool in a zone are a group. One node, chosen by rendezvous hash among those
 * seen alive in the zone, owns the group: it asks the weight store for the newest version, takes
 * the group's epoch ({@link RolloutEpoch}) and carries out the plan of {@link WeightRollout}. All
 * other nodes only read the engines that they look after, so that they know which are loading.
 *
 * <p>The weight store's rate is divided among groups in proportion to their engines, so that all
 * owners together keep it without talking to each other.
 *
 * <p>Which groups concern this node is computed once a second, so that a poll costs no more for
 * groups that it has nothing to do with.
 *
 * <p>{@link #poll} runs on the control thread. {@link #view} may be called from any thread.
 */
public final class WeightRolloutService {
  private static final long RELEVANCE_CHECK_INTERVAL_MS = 1_000;

  private final String nodeId;
  private final TableStore table;
  private final WeightStore weightStore;
  private final EngineClient engines;
  private final NodeLease lease;
  private final RolloutSurroundings context;
  private final RolloutTimes times;
  private final double ordersPerSecond;
  private final long pauseMarginMs;
  private final NanoClock clock;
  private final RandomGenerator random;
  private final ControlInbox inbox;
  private final Map<RolloutGroup, GroupRollout> rollouts = new HashMap<>();
  private final Map<String, NewestVersion> models = new HashMap<>();
  private Map<RolloutGroup, GroupRollout.GroupConfig> groupConfigs = Map.of();
  private long groupConfigsVersion = -1;
  private Set<RolloutGroup> relevantGroups = Set.of();
  private long nextRelevanceCheckMs = Long.MIN_VALUE;
  private volatile RolloutView view = RolloutView.EMPTY;

  /** The newest version of a model, as far as this node has asked. */
  private static final class NewestVersion {
    long latest = WeightRollout.UNKNOWN_VERSION;
    long nextReadMs = Long.MIN_VALUE;
    boolean reading;
  }

  private WeightRolloutService(Builder builder) {
    this.nodeId = Objects.requireNonNull(builder.nodeId, "nodeId");
    this.table = Objects.requireNonNull(builder.table, "table");
    this.weightStore = Objects.requireNonNull(builder.weightStore, "weightStore");
    this.engines = Objects.requireNonNull(builder.engines, "engines");
    this.lease = Objects.requireNonNull(builder.lease, "lease");
    this.context = Objects.requireNonNull(builder.context, "surroundings");
    this.clock = Objects.requireNonNull(builder.clock, "clock");
    this.random = Objects.requireNonNull(builder.random, "random");
    this.inbox = new ControlInbox(Objects.requireNonNull(builder.control, "control"));
    this.times = builder.times;
    this.ordersPerSecond = builder.ordersPerSecond;
    this.pauseMarginMs = builder.pauseMarginMs;
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns which node owns a group: one of its zone where any is alive, else any.
   *
   * @param group the group
   * @param members the members as this node sees them
   * @param nodeId a node
   * @return whether the node owns the group
   */
  public static boolean owns(RolloutGroup group, MembershipView members, String nodeId) {
    List<String> local = members.aliveIds(group.zone());
    List<String> candidates = local.isEmpty() ? members.aliveIds() : local;
    return RendezvousHash.owner("weight-rollout/" + group.key(), candidates)
        .filter(nodeId::equals)
        .isPresent();
  }

  /** Returns what is known now. */
  public RolloutView view() {
    return view;
  }

  /** Does what is due. Called on the control thread, about every 50 ms. */
  public void poll() {
    inbox.drain();
    Configuration configuration = context.configuration();
    boolean changed = configuration.version() != groupConfigsVersion;
    if (changed) {
      groupConfigs = groupConfigs(configuration);
      groupConfigsVersion = configuration.version();
    }
    if (changed || nowMs() >= nextRelevanceCheckMs) {
      nextRelevanceCheckMs = nowMs() + RELEVANCE_CHECK_INTERVAL_MS;
      relevantGroups =
          groupConfigs.keySet().stream().filter(this::isRelevant).collect(Collectors.toSet());
      rollouts.keySet().retainAll(relevantGroups);
    }
    relevantGroups.forEach(group -> poll(group, groupConfigs.get(group)));
    publish();
  }

  private boolean isRelevant(RolloutGroup group) {
    GroupRollout rollout = rollouts.get(group);
    return context.owns(group)
        || (rollout != null && rollout.isHolding())
        || groupConfigs.get(group).addresses().keySet().stream().anyMatch(context::looksAfter);
  }

  private void poll(RolloutGroup group, GroupRollout.GroupConfig config) {
    NewestVersion model = models.computeIfAbsent(config.pool().model(), any -> new NewestVersion());
    if (context.owns(group)) {
      readVersion(config.pool().model(), model);
    }
    rollouts.computeIfAbsent(group, this::newRollout).poll(config, context, model.latest);
  }

  private GroupRollout newRollout(RolloutGroup group) {
    RolloutEpoch rolloutEpoch =
        new RolloutEpoch(group, nodeId, table, lease, inbox, pauseMarginMs, this::nowMs);
    WeightRollout rollout = new WeightRollout(times, random);
    return new GroupRollout(group, nodeId, rolloutEpoch, rollout, engines, inbox, this::nowMs);
  }

  /** Asks the weight store when it is time. An older answer than one before is not followed. */
  private void readVersion(String name, NewestVersion model) {
    if (model.reading || nowMs() < model.nextReadMs) {
      return;
    }
    model.reading = true;
    model.nextReadMs = nowMs() + times.readIntervalMs();
    inbox.onResult(
        weightStore.versions(name),
        (versions, failure) -> {
          model.reading = false;
          if (failure == null && versions.latest() > 0) {
            model.latest = Math.max(model.latest, versions.latest());
          }
        });
  }

  private Map<RolloutGroup, GroupRollout.GroupConfig> groupConfigs(Configuration configuration) {
    Map<RolloutGroup, Map<String, InetSocketAddress>> addresses = new TreeMap<>();
    int total = 0;
    for (Map.Entry<String, ResourceSpec.EndpointSpec> entry :
        configuration.endpoints().entrySet()) {
      ResourceSpec.EndpointSpec endpoint = entry.getValue();
      ResourceSpec.PoolSpec pool = configuration.pools().get(endpoint.pool());
      if (pool != null && pool.type() == PoolType.MODEL) {
        addresses
            .computeIfAbsent(
                new RolloutGroup(endpoint.pool(), endpoint.zone()), any -> new TreeMap<>())
            .put(entry.getKey(), new InetSocketAddress(endpoint.address(), endpoint.port()));
        total++;
      }
    }
    Map<RolloutGroup, GroupRollout.GroupConfig> result = new TreeMap<>();
    for (Map.Entry<RolloutGroup, Map<String, InetSocketAddress>> entry : addresses.entrySet()) {
      double rate = ordersPerSecond * entry.getValue().size() / total;
      ResourceSpec.PoolSpec pool = configuration.pools().get(entry.getKey().pool());
      result.put(entry.getKey(), new GroupRollout.GroupConfig(pool, entry.getValue(), rate));
    }
    return result;
  }

  private void publish() {
    Map<String, RolloutStatus> endpoints = new HashMap<>();
    List<RolloutView.OwnedGroup> groups = new ArrayList<>();
    Map<String, Long> targets = new HashMap<>();
    rollouts.forEach(
        (group, rollout) -> {
          endpoints.putAll(rollout.statuses());
          if (context.owns(group)) {
            groups.add(rollout.view());
            targets.put(group.pool(), models.get(groupConfigs.get(group).pool().model()).latest);
          }
        });
    view = new RolloutView(targets, endpoints, groups);
  }

  private long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime());
  }

  /** Builds a {@link WeightRolloutService}. */
  public static final class Builder {
    private String nodeId;
    private TableStore table;
    private WeightStore weightStore;
    private EngineClient engines;
    private NodeLease lease;
    private RolloutSurroundings context;
    private ControlInbox.ControlExecutor control;
    private NanoClock clock;
    private RandomGenerator random;
    private RolloutTimes times = RolloutTimes.DEFAULT;
    private double ordersPerSecond = 8;
    private long pauseMarginMs = 3_000;

    private Builder() {}

    /**
     * Sets which node this is.
     *
     * @param nodeId its id
     * @param lease its lease
     * @return this builder
     */
    public Builder node(String nodeId, NodeLease lease) {
      this.nodeId = nodeId;
      this.lease = lease;
      return this;
    }

    /**
     * Sets the platform.
     *
     * @param table the table service
     * @param weightStore the weight store
     * @return this builder
     */
    public Builder platform(TableStore table, WeightStore weightStore) {
      this.table = table;
      this.weightStore = weightStore;
      return this;
    }

    /**
     * Sets what calls engines. Its calls must time out sooner than the pause margin.
     *
     * @param engines the client
     * @return this builder
     */
    public Builder engines(EngineClient engines) {
      this.engines = engines;
      return this;
    }

    /**
     * Sets the rest of the node.
     *
     * @param context what rollouts need to know of it
     * @return this builder
     */
    public Builder surroundings(RolloutSurroundings context) {
      this.context = context;
      return this;
    }

    /**
     * Sets time, chance and thread.
     *
     * @param clock the monotonic clock
     * @param random the source of jitter
     * @param control hands commands to the control thread
     * @return this builder
     */
    public Builder runtime(
        NanoClock clock, RandomGenerator random, ControlInbox.ControlExecutor control) {
      this.clock = clock;
      this.random = random;
      this.control = control;
      return this;
    }

    /**
     * Sets the durations.
     *
     * @param times those of rollouts
     * @param pauseMarginMs how long a new holder waits before it orders engines that ignore fencing
     *     numbers, in milliseconds
     * @return this builder
     */
    public Builder times(RolloutTimes times, long pauseMarginMs) {
      this.times = times;
      this.pauseMarginMs = pauseMarginMs;
      return this;
    }

    /**
     * Sets the weight store's limit.
     *
     * @param ordersPerSecond loads a second of all pools and zones together, over 0
     * @return this builder
     */
    public Builder ordersPerSecond(double ordersPerSecond) {
      this.ordersPerSecond = ordersPerSecond;
      return this;
    }

    /** Returns the service, which does nothing until it is polled. */
    public WeightRolloutService build() {
      return new WeightRolloutService(this);
    }
  }
}
