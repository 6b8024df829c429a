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
import org.sycamoretrack.core.version.RolloutTimings;
import org.sycamoretrack.core.version.WeightRollout;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.WeightStore;
import org.sycamoretrack.daemon.process.ControlInbox;

/**
 * Rolls out the newest weights to the engines of all model pools.
 *
 * <p>The engines of a pool in a zone are a group. One node, chosen by rendezvous hashing among
 * those seen alive in the zone, owns the group: it reads the newest version from the weight store,
 * acquires the group's {@link RolloutEpoch} and executes the plan of {@link WeightRollout}. Other
 * nodes only read the engines to which they send work, so that they know which are loading.
 *
 * <p>The rate limit of the weight store is divided among the groups in proportion to their numbers
 * of engines, so that all owners together keep the limit without coordination.
 *
 * <p>The groups that are relevant to this node are determined once a second, so that a poll costs
 * nothing for the others.
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
  private final RolloutContext context;
  private final RolloutTimings timings;
  private final double loadsPerSecond;
  private final long pauseMarginMs;
  private final NanoClock clock;
  private final RandomGenerator random;
  private final ControlInbox inbox;
  private final Map<RolloutGroup, GroupRollout> rollouts = new HashMap<>();
  private final Map<String, NewestVersion> newestVersions = new HashMap<>();
  private Map<RolloutGroup, GroupRollout.GroupConfig> groupConfigs = Map.of();
  private long groupConfigsVersion = -1;
  private Set<RolloutGroup> relevantGroups = Set.of();
  private long nextRelevanceCheckMs = Long.MIN_VALUE;
  private volatile RolloutView view = RolloutView.EMPTY;

  /** The newest version of a model that this node has read from the weight store. */
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
    this.timings = builder.timings;
    this.loadsPerSecond = builder.loadsPerSecond;
    this.pauseMarginMs = builder.pauseMarginMs;
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns whether a node owns a group. The owner is chosen among the alive nodes of the zone of
   * the group, or among all alive nodes when there are none.
   *
   * @param group the group
   * @param members this node's view of the members
   * @param nodeId the id of a node
   * @return whether the node owns the group
   */
  public static boolean owns(RolloutGroup group, MembershipView members, String nodeId) {
    List<String> local = members.aliveIds(group.zone());
    List<String> candidates = local.isEmpty() ? members.aliveIds() : local;
    return RendezvousHash.owner("weight-rollout/" + group.key(), candidates)
        .filter(nodeId::equals)
        .isPresent();
  }

  /** Returns the latest view. */
  public RolloutView view() {
    return view;
  }

  /**
   * Starts the calls that are due and publishes a new view. Called on the control thread, about
   * every 50 ms.
   */
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
        || groupConfigs.get(group).addresses().keySet().stream().anyMatch(context::sendsWorkTo);
  }

  private void poll(RolloutGroup group, GroupRollout.GroupConfig config) {
    NewestVersion newest =
        newestVersions.computeIfAbsent(config.pool().model(), any -> new NewestVersion());
    if (context.owns(group)) {
      readNewestVersion(config.pool().model(), newest);
    }
    rollouts.computeIfAbsent(group, this::newRollout).poll(config, context, newest.latest);
  }

  private GroupRollout newRollout(RolloutGroup group) {
    RolloutEpoch rolloutEpoch =
        new RolloutEpoch(group, nodeId, table, lease, inbox, pauseMarginMs, this::nowMs);
    WeightRollout rollout = new WeightRollout(timings, random);
    return new GroupRollout(group, nodeId, rolloutEpoch, rollout, engines, inbox, this::nowMs);
  }

  /**
   * Reads the newest version at an interval. A response with an older version than an earlier one
   * is ignored.
   */
  private void readNewestVersion(String model, NewestVersion newest) {
    if (newest.reading || nowMs() < newest.nextReadMs) {
      return;
    }
    newest.reading = true;
    newest.nextReadMs = nowMs() + timings.readIntervalMs();
    inbox.onResult(
        weightStore.versions(model),
        (versions, failure) -> {
          newest.reading = false;
          if (failure == null && versions.latest() > 0) {
            newest.latest = Math.max(newest.latest, versions.latest());
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
      double rate = loadsPerSecond * entry.getValue().size() / total;
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
            targets.put(
                group.pool(), newestVersions.get(groupConfigs.get(group).pool().model()).latest);
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
    private RolloutContext context;
    private ControlInbox.ControlExecutor control;
    private NanoClock clock;
    private RandomGenerator random;
    private RolloutTimings timings = RolloutTimings.DEFAULT;
    private double loadsPerSecond = 8;
    private long pauseMarginMs = 3_000;

    private Builder() {}

    /**
     * Sets the identity and the lease of this node.
     *
     * @param nodeId the id of the node
     * @param lease the lease of the node
     * @return this builder
     */
    public Builder node(String nodeId, NodeLease lease) {
      this.nodeId = nodeId;
      this.lease = lease;
      return this;
    }

    /**
     * Sets the clients of the platform.
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
     * Sets the client of the engines. Its calls must time out sooner than the pause margin.
     *
     * @param engines the client
     * @return this builder
     */
    public Builder engines(EngineClient engines) {
      this.engines = engines;
      return this;
    }

    /**
     * Sets the access to the state of the node.
     *
     * @param context the state that rollouts depend on
     * @return this builder
     */
    public Builder context(RolloutContext context) {
      this.context = context;
      return this;
    }

    /**
     * Sets the clock, the source of randomness and the executor.
     *
     * @param clock the monotonic clock
     * @param random the source of jitter
     * @param control runs commands on the control thread
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
     * Sets the timing of rollouts.
     *
     * @param timings the intervals and timeouts of rollouts
     * @param pauseMarginMs how long a new holder of an epoch waits before it sends load commands to
     *     engines that ignore fencing tokens, in milliseconds
     * @return this builder
     */
    public Builder timings(RolloutTimings timings, long pauseMarginMs) {
      this.timings = timings;
      this.pauseMarginMs = pauseMarginMs;
      return this;
    }

    /**
     * Sets the rate limit that protects the weight store.
     *
     * @param loadsPerSecond the loads per second over all pools and zones, greater than 0
     * @return this builder
     */
    public Builder loadsPerSecond(double loadsPerSecond) {
      this.loadsPerSecond = loadsPerSecond;
      return this;
    }

    /** Builds the service, which does nothing until it is polled. */
    public WeightRolloutService build() {
      return new WeightRolloutService(this);
    }
  }
}
