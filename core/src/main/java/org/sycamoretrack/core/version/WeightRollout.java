package org.sycamoretrack.core.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.sycamoretrack.core.request.Backoff;

/**
 * Brings the engines of one pool in one zone to a version of the weights.
 *
 * <p>{@link #plan} is called every few milliseconds with the situation as it is, and says which
 * engines to read, to probe with a one-token completion, and to order to load. The {@code on...}
 * methods take the results. The class does no I/O and never takes an order's success for its
 * effect; see {@code RolloutEndpoint} for what counts as proof.
 *
 * <p>Orders go first to engines that get no work anyway, since loading them costs no capacity, then
 * to those with the oldest version, then to those with the fewest requests in flight. Two limits
 * hold at every moment:
 *
 * <ul>
 *   <li>the rate: no more than {@code ordersPerSecond} orders, repeated ones included;
 *   <li>the floor: of {@code n} engines at least {@code ceil(floorShare * n)} are in service. An
 *       engine is out of service from its order until a probe has proven the version or the load
 *       has failed. Where the floor lets none go, one engine at a time is loaded while it stays in
 *       service, so that a rollout goes on in a small group or beside broken engines.
 * </ul>
 *
 * <p>Without an epoch the rollout only reads: it orders nothing. A version is never taken back: an
 * engine that serves a newer one than the target is left alone.
 *
 * <p>Example: four engines on version 6, floor share 0.5, two orders a second, loads of 0.7 s.
 * Version 7 is published at 0 s. Orders go out at 0, 0.5, 1.0 and 1.5 s, at most two engines are
 * out of service, and the last is proven at 2.2 s. Had the second load failed halfway, its engine
 * would be back in service after the timeout and be ordered again after the backoff.
 *
 * <p>Not thread-safe.
 */
public final class WeightRollout {
  /** Stands for a version that is not known or not there. */
  public static final long UNKNOWN_VERSION = -1;

  /**
   * An engine as the rest of the system sees it.
   *
   * @param name the endpoint's name
   * @param inService whether it gets new work, leaving loads aside: it is not drained, leaving or
   *     ejected
   * @param inFlight its requests in flight
   * @param followed whether this node reads the engine; all are, where it may order
   */
  public record Engine(String name, boolean inService, int inFlight, boolean followed) {}

  /**
   * What a plan is made from.
   *
   * @param targetVersion the version to bring the engines to, or {@link #UNKNOWN_VERSION}
   * @param epoch the fencing number of orders, 0 when no order may be given
   * @param ordersPerSecond the limit set by the weight store, over 0
   * @param floorShare the share of engines that stay in service, 0 to 1
   * @param engines all engines of the group, also those that are not followed
   */
  public record Situation(
      long targetVersion,
      long epoch,
      double ordersPerSecond,
      double floorShare,
      List<Engine> engines) {
    /** Copies the engines. */
    public Situation {
      engines = List.copyOf(engines);
    }
  }

  /** What is to be done. */
  public sealed interface Command {
    /** Returns the endpoint's name. */
    String endpoint();

    /**
     * Read the engine's weights and call {@link #onRead} or {@link #onReadFailed}.
     *
     * @param endpoint the endpoint's name
     */
    record Read(String endpoint) implements Command {}

    /**
     * Generate one token and call {@link #onProbed} or {@link #onProbeFailed}.
     *
     * @param endpoint the endpoint's name
     */
    record Probe(String endpoint) implements Command {}

    /**
     * Order a load and call {@link #onOrderSettled} when it was answered or has failed, or {@link
     * #onOrderDropped} when it was not sent.
     *
     * @param endpoint the endpoint's name
     * @param version the version to load
     * @param epoch the fencing number
     */
    record Order(String endpoint, long version, long epoch) implements Command {}
  }

  private final RolloutTimes times;
  private final Backoff backoff;
  private final TokenBucket loadBucket = new TokenBucket();
  private final Map<String, RolloutEndpoint> endpoints = new LinkedHashMap<>();
  private Situation situation = new Situation(UNKNOWN_VERSION, 0, 1, 0, List.of());

  /**
   * Creates a rollout that knows nothing of its engines.
   *
   * @param times the durations
   * @param random the source of jitter
   */
  public WeightRollout(RolloutTimes times, RandomGenerator random) {
    this.times = times;
    this.backoff = new Backoff(times.retryBaseMs(), times.retryMaxMs(), random);
  }

  /**
   * Says what to do now.
   *
   * @param current the situation
   * @param nowMs the monotonic time in milliseconds
   * @return the commands, in the order in which they are to be carried out
   */
  public List<Command> plan(Situation current, long nowMs) {
    situation = current;
    trackEngines(current.engines());
    loadBucket.refill(current.ordersPerSecond(), nowMs);
    List<Command> commands = new ArrayList<>();
    for (Engine engine : current.engines()) {
      endpoint(engine).checkTimeout(nowMs);
      if (engine.followed() && endpoint(engine).beginRead(nowMs)) {
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
      endpoints.computeIfAbsent(name, any -> new RolloutEndpoint(name, times, backoff));
    }
  }

  private void addProbes(long nowMs, List<Command> commands) {
    for (Map.Entry<String, RolloutEndpoint> entry : endpoints.entrySet()) {
      if (entry.getValue().beginProbe(situation.targetVersion(), nowMs)) {
        commands.add(new Command.Probe(entry.getKey()));
      }
    }
  }

  private void addLoadCommands(long nowMs, List<Command> commands) {
    List<Engine> candidates =
        situation.engines().stream()
            .filter(engine -> endpoint(engine).needsLoad(situation.targetVersion(), nowMs))
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
      boolean removable = isOutOfService(engine) || canTakeOutOfService(engine);
      if (removable || noLoadInProgress()) {
        loadBucket.consume();
        endpoint(engine).beginLoad(situation.targetVersion(), !removable, nowMs);
        commands.add(
            new Command.Order(engine.name(), situation.targetVersion(), situation.epoch()));
      }
    }
  }

  private RolloutEndpoint endpoint(Engine engine) {
    return endpoints.get(engine.name());
  }

  /** Returns whether the floor holds without an engine that is in service now. */
  private boolean canTakeOutOfService(Engine engine) {
    int count = situation.engines().size();
    int allowance = count - (int) Math.ceil(situation.floorShare() * count);
    long othersOut =
        situation.engines().stream()
            .filter(other -> !other.equals(engine) && isOutOfService(other))
            .count();
    return othersOut < allowance;
  }

  private boolean isOutOfService(Engine engine) {
    RolloutEndpoint endpoint = endpoint(engine);
    boolean unreachable = engine.followed() && !endpoint.isReachable();
    return !engine.inService() || unreachable || endpoint.isOutOfService();
  }

  private boolean noLoadInProgress() {
    return endpoints.values().stream().noneMatch(RolloutEndpoint::isLoading);
  }

  /**
   * Takes what an engine reports.
   *
   * @param endpoint the endpoint's name
   * @param version the version that it says it serves
   * @param loading the version that it says it loads, or {@link #UNKNOWN_VERSION}
   * @param nowMs the monotonic time in milliseconds
   */
  public void onRead(String endpoint, long version, long loading, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onRead(version, loading, nowMs);
    }
  }

  /**
   * Notes that an engine could not be read.
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
   * Takes the version of a probe's token.
   *
   * @param endpoint the endpoint's name
   * @param version the version in the chunk
   * @param nowMs the monotonic time in milliseconds
   */
  public void onProbed(String endpoint, long version, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onProbed(version, nowMs);
    }
  }

  /**
   * Notes that a probe got no token.
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
   * Notes that an order was answered, whatever the answer, or that its call failed.
   *
   * @param endpoint the endpoint's name
   * @param nowMs the monotonic time in milliseconds
   */
  public void onOrderSettled(String endpoint, long nowMs) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.onLoadCommandSettled(nowMs);
    }
  }

  /**
   * Notes that an order was not sent, because the right to give it had lapsed.
   *
   * @param endpoint the endpoint's name
   */
  public void onOrderDropped(String endpoint) {
    RolloutEndpoint state = endpoints.get(endpoint);
    if (state != null) {
      state.cancelLoad();
    }
  }

  /** Returns whether a load is under way. */
  public boolean isLoading() {
    return !noLoadInProgress();
  }

  /**
   * Returns what is known of all engines. One that loads by the order of another node is shown as
   * out of service unless the floor says that it was to be loaded in service.
   */
  public List<RolloutStatus> statuses() {
    return situation.engines().stream().map(this::status).toList();
  }

  private RolloutStatus status(Engine engine) {
    RolloutEndpoint endpoint = endpoint(engine);
    boolean inPlace = endpoint.isLoadingForAnotherNode() && !canTakeOutOfService(engine);
    return endpoint.status(endpoint.isOutOfService() && !inPlace);
  }
}
