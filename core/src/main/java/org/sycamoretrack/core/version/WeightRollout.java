package org.sycamoretrack.core.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.sycamoretrack.core.request.Backoff;

/**
 * Rolls out a version of the model weights to the engines of one pool in one zone.
 *
 * <p>{@link #plan} is called every few milliseconds with the current state of the pool and returns
 * which engines to read, to probe with a one-token completion, and to command to load weights. The
 * results are passed to the {@code on...} methods. The class does no I/O. A successful response to
 * a load command does not mean that the load succeeded; see {@code RolloutEndpoint} for how a
 * version is verified.
 *
 * <p>Engines that get no work anyway are loaded first, because that costs no capacity, then those
 * with the oldest version, then those with the fewest requests in flight. Two limits hold at all
 * times:
 *
 * <ul>
 *   <li>the rate: at most {@code loadsPerSecond} load commands, including repeated ones;
 *   <li>the floor: of {@code n} engines at least {@code ceil(floorShare * n)} stay in service. An
 *       engine is out of service from its load command until a probe has verified the version or
 *       the load has failed. If the floor allows no engine to be taken out of service, one engine
 *       at a time is loaded in place, that is while it stays in service, so that a rollout makes
 *       progress in a small pool or when engines are unreachable.
 * </ul>
 *
 * <p>Without an epoch the rollout only reads and sends no load commands. Versions are never rolled
 * back: an engine that serves a newer version than the target is not changed.
 *
 * <p>Example: four engines on version 6, floor share 0.5, two load commands a second, and a load
 * takes 0.7 s. Version 7 is published at 0 s. Load commands are sent at 0, 0.5, 1.0 and 1.5 s, at
 * most two engines are out of service, and the last one is verified at 2.2 s. If the second load
 * stalls, its engine is back in service after the timeout and is commanded again after the backoff.
 *
 * <p>Not thread-safe.
 */
public final class WeightRollout {
  /** Denotes a version that is unknown or absent. */
  public static final long UNKNOWN_VERSION = -1;

  /**
   * The state of an engine apart from its weights.
   *
   * @param name the endpoint's name
   * @param inService whether it gets new work apart from loads: it is not drained, leaving or
   *     ejected
   * @param inFlight the number of its requests in flight
   * @param monitored whether this node reads the engine; a node that may send load commands reads
   *     all engines
   */
  public record Engine(String name, boolean inService, int inFlight, boolean monitored) {}

  /**
   * The input of {@link #plan}.
   *
   * @param targetVersion the version to roll out, or {@link #UNKNOWN_VERSION}
   * @param epoch the fencing token of load commands, 0 if none may be sent
   * @param loadsPerSecond the maximum rate of load commands, set by the weight store, greater than
   *     0
   * @param floorShare the minimum share of engines that stay in service, 0 to 1
   * @param engines all engines of the pool in the zone, including those that this node does not
   *     read
   */
  public record PoolState(
      long targetVersion,
      long epoch,
      double loadsPerSecond,
      double floorShare,
      List<Engine> engines) {
    /** Copies the engines. */
    public PoolState {
      engines = List.copyOf(engines);
    }
  }

  /** An action to perform. */
  public sealed interface Command {
    /** Returns the endpoint's name. */
    String endpoint();

    /**
     * Reads the engine's reported weight version. The result goes to {@link #onRead} or {@link
     * #onReadFailed}.
     *
     * @param endpoint the endpoint's name
     */
    record Read(String endpoint) implements Command {}

    /**
     * Generates one token. The result goes to {@link #onProbed} or {@link #onProbeFailed}.
     *
     * @param endpoint the endpoint's name
     */
    record Probe(String endpoint) implements Command {}

    /**
     * Commands an engine to load weights. {@link #onLoadCommandSettled} is to be called when the
     * response to the command was received or its call has failed, {@link #onLoadCommandDropped} if
     * it was not sent.
     *
     * @param endpoint the endpoint's name
     * @param version the version to load
     * @param epoch the fencing token
     */
    record Load(String endpoint, long version, long epoch) implements Command {}
  }

  private final RolloutTimings timings;
  private final Backoff backoff;
  private final TokenBucket loadBucket = new TokenBucket();
  private final Map<String, RolloutEndpoint> endpoints = new LinkedHashMap<>();
  private PoolState poolState = new PoolState(UNKNOWN_VERSION, 0, 1, 0, List.of());

  /**
   * Creates a rollout without any state of its engines.
   *
   * @param timings the intervals and timeouts
   * @param random the source of backoff jitter
   */
  public WeightRollout(RolloutTimings timings, RandomGenerator random) {
    this.timings = timings;
    this.backoff = new Backoff(timings.retryBaseMs(), timings.retryMaxMs(), random);
  }

  /**
   * Returns the actions to perform now.
   *
   * @param current the current state of the pool
   * @param nowMs the monotonic time in milliseconds
   * @return the commands, in the order in which to execute them
   */
  public List<Command> plan(PoolState current, long nowMs) {
    poolState = current;
    trackEngines(current.engines());
    loadBucket.refill(current.loadsPerSecond(), nowMs);
    List<Command> commands = new ArrayList<>();
    for (Engine engine : current.engines()) {
      endpoint(engine).checkTimeout(nowMs);
      if (engine.monitored() && endpoint(engine).beginRead(nowMs)) {
        commands.add(new Command.Read(engine.name()));
      }
    }
    if (current.epoch() > 0 && current.targetVersion() != UNKNOWN_VERSION) {
      addProbes(nowMs, commands);
      addLoadCommands(nowMs, commands);
    }
    return commands;
  }

  private void trackEngines(List<Engine> engines) {
    List<String> names = engines.stream().map(Engine::name).toList();
    endpoints.keySet().retainAll(names);
    for (String name : names) {
      endpoints.computeIfAbsent(name, any -> new RolloutEndpoint(name, timings, backoff));
    }
  }

  private void addProbes(long nowMs, List<Command> commands) {
    for (Map.Entry<String, RolloutEndpoint> entry : endpoints.entrySet()) {
      if (entry.getValue().beginProbe(poolState.targetVersion(), nowMs)) {
        commands.add(new Command.Probe(entry.getKey()));
      }
    }
  }

  private void addLoadCommands(long nowMs, List<Command> commands) {
    List<Engine> candidates =
        poolState.engines().stream()
            .filter(engine -> endpoint(engine).needsLoad(poolState.targetVersion(), nowMs))
            .sorted(
                Comparator.comparing(Engine::inService)
                    .thenComparingLong(engine -> endpoint(engine).servedVersion())
                    .thenComparingInt(Engine::inFlight)
                    .thenComparing(Engine::name))
            .toList();
    for (Engine engine : candidates) {
      if (!loadBucket.hasToken()) {
        return;
      }
      boolean outOfService = isOutOfService(engine) || canTakeOutOfService(engine);
      if (outOfService || noLoadInProgress()) {
        loadBucket.consume();
        endpoint(engine).beginLoad(poolState.targetVersion(), !outOfService, nowMs);
        commands.add(new Command.Load(engine.name(), poolState.targetVersion(), poolState.epoch()));
      }
    }
  }

  private RolloutEndpoint endpoint(Engine engine) {
    return endpoints.get(engine.name());
  }

  /** Returns whether the floor still holds if the given engine is taken out of service. */
  private boolean canTakeOutOfService(Engine engine) {
    int count = poolState.engines().size();
    int maxOutOfService = count - (int) Math.ceil(poolState.floorShare() * count);
    long othersOut =
        poolState.engines().stream()
            .filter(other -> !other.equals(engine) && isOutOfService(other))
            .count();
    return othersOut < maxOutOfService;
  }

  private boolean isOutOfService(Engine engine) {
    RolloutEndpoint endpoint = endpoint(engine);
    boolean unreachable = engine.monitored() && !endpoint.isReachable();
    return !engine.inService() || unreachable || endpoint.isOutOfService();
  }

  private boolean noLoadInProgress() {
    return endpoints.values().stream().noneMatch(RolloutEndpoint::isLoading);
  }

  /**
   * Handles the report of an engine.
   *
   * @param endpoint the endpoint's name
   * @param version the version that it reports to serve
   * @param loading the version that it reports to be loading, or {@link #UNKNOWN_VERSION}
   * @param nowMs the monotonic time in milliseconds
   */
  public void onRead(String endpoint, long version, long loading, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onRead(version, loading, nowMs);
    }
  }

  /**
   * Handles the failure to read an engine.
   *
   * @param endpoint the endpoint's name
   * @param nowMs the monotonic time in milliseconds
   */
  public void onReadFailed(String endpoint, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onReadFailed(nowMs);
    }
  }

  /**
   * Handles the result of a probe.
   *
   * @param endpoint the endpoint's name
   * @param version the weight version of the generated token
   * @param nowMs the monotonic time in milliseconds
   */
  public void onProbed(String endpoint, long version, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onProbed(version, nowMs);
    }
  }

  /**
   * Handles a probe that returned no token.
   *
   * @param endpoint the endpoint's name
   * @param nowMs the monotonic time in milliseconds
   */
  public void onProbeFailed(String endpoint, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onProbeFailed(nowMs);
    }
  }

  /**
   * Handles the end of the call of a load command, by a response of any status or by a failure.
   *
   * @param endpoint the endpoint's name
   * @param nowMs the monotonic time in milliseconds
   */
  public void onLoadCommandSettled(String endpoint, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onLoadCommandSettled(nowMs);
    }
  }

  /**
   * Handles a load command that was not sent because the right of this node to send it, shown by
   * its epoch, had lapsed.
   *
   * @param endpoint the endpoint's name
   */
  public void onLoadCommandDropped(String endpoint) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.cancelLoad();
    }
  }

  /** Returns whether a load is in progress. */
  public boolean isLoading() {
    return !noLoadInProgress();
  }

  /**
   * Returns the state of all engines. An engine that is loading on command of another node is shown
   * as out of service, unless the floor implies that it is being loaded in place.
   */
  public List<RolloutStatus> statuses() {
    return poolState.engines().stream().map(this::status).toList();
  }

  private RolloutStatus status(Engine engine) {
    RolloutEndpoint endpoint = endpoint(engine);
    boolean inPlace = endpoint.isLoadingForAnotherNode() && !canTakeOutOfService(engine);
    return endpoint.status(endpoint.isOutOfService() && !inPlace);
  }
}
