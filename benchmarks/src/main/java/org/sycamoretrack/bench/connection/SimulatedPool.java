package org.sycamoretrack.bench.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sycamoretrack.bench.request.SimulatedRequest;
import org.sycamoretrack.core.connection.EndpointStats;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.connection.RequestTraits;
import org.sycamoretrack.core.request.AdmissionQueue;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.RequestClass;

/**
 * A pool of simulated engines behind the policies under test.
 *
 * <p>Views of the endpoints are refreshed at an interval, as on a node; in between, requests are
 * placed on outdated views.
 */
public final class SimulatedPool {
  private static final String[] ZONES = {"svea-a", "svea-b", "svea-c"};
  private static final double STATS_INTERVAL_MS = 50;
  private static final double DISPATCH_INTERVAL_MS = 50;

  private final VirtualTime time;
  private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
  private final Placement placement;
  private final Consumer<SimulatedRequest> onEnd;
  private final Builder settings;
  private List<EndpointView> views = List.of();

  private SimulatedPool(Builder settings, VirtualTime time, Consumer<SimulatedRequest> onEnd) {
    this.settings = settings;
    this.time = time;
    this.placement = settings.placement;
    this.onEnd = onEnd;
    for (int i = 0; i < settings.engines; i++) {
      endpoints.add(endpoint(i));
    }
    refreshViews();
    time.every(STATS_INTERVAL_MS, this::updateStats);
    time.every(settings.viewIntervalMs, this::refreshViews);
  }

  /**
   * Returns a builder of a pool of 8 engines.
   *
   * @param placement how endpoints are chosen
   */
  public static Builder builder(Placement placement) {
    return new Builder(placement);
  }

  /** Returns the endpoints. */
  public List<SimulatedEndpoint> endpoints() {
    return List.copyOf(endpoints);
  }

  /**
   * Chooses an endpoint for a request and forwards it there.
   *
   * @param request the request
   * @param expectedTokens the expected number of output tokens
   */
  public void submit(SimulatedRequest request, long expectedTokens) {
    submit(request, expectedTokens, Set.of(), 0, 0);
  }

  /**
   * Chooses an endpoint for a request and forwards it there.
   *
   * @param request the request
   * @param expectedTokens the expected number of output tokens
   * @param excluded endpoints that must not be chosen
   * @param rank its order in its flow
   * @param minVersion the oldest weight version that may serve it, 0 for any
   */
  public void submit(
      SimulatedRequest request,
      long expectedTokens,
      Set<String> excluded,
      int rank,
      long minVersion) {
    String zone = ZONES[request.id() % ZONES.length];
    RequestTraits traits =
        new RequestTraits(
            request.requestClass(),
            zone,
            request.prefixHash(),
            minVersion,
            expectedTokens,
            excluded);
    Optional<String> chosen = placement.choose(views, traits, time.nowWholeMs());
    if (chosen.isEmpty()) {
      request.onEnd(SimulatedRequest.State.REFUSED, time.nowMs());
      onEnd.accept(request);
      return;
    }
    endpoint(chosen.get()).offer(request, expectedTokens, rank);
  }

  /**
   * Returns an endpoint.
   *
   * @param name its name
   */
  public SimulatedEndpoint endpoint(String name) {
    return endpoints.stream()
        .filter(endpoint -> endpoint.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Cancels a running request and continues it on another endpoint.
   *
   * @param request the request
   * @param from where it runs
   * @param to where it continues
   * @param expectedTokens the expected number of remaining output tokens
   */
  public void move(SimulatedRequest request, String from, String to, long expectedTokens) {
    endpoint(from).cancel(request);
    request.onMoved();
    endpoint(to).offer(request, expectedTokens, -1);
  }

  private SimulatedEndpoint endpoint(int index) {
    SimulatedEngine engine =
        new SimulatedEngine(time, settings.profile, settings.slowdowns.apply(index));
    ConcurrencyLimit limit = settings.limit == null ? null : settings.limit.apply(index);
    AdmissionQueue<SimulatedRequest> queue = limit == null ? null : settings.queue.build();
    SimulatedEndpoint endpoint =
        new SimulatedEndpoint(
            "sampler-" + index, ZONES[index % ZONES.length], time, engine, limit, queue, onEnd);
    time.every(DISPATCH_INTERVAL_MS, endpoint::dispatchQueued);
    return endpoint;
  }

  private void refreshViews() {
    views = endpoints.stream().map(SimulatedEndpoint::view).toList();
  }

  private void updateStats() {
    double medianMs =
        EndpointStats.medianTimePerTokenMs(
            endpoints.stream().map(SimulatedEndpoint::view).toList());
    endpoints.forEach(endpoint -> endpoint.stats().update(time.nowWholeMs(), medianMs));
  }

  /**
   * Returns whether some endpoint could start a rollout request immediately.
   *
   * @param minVersion the oldest weight version that may serve it
   */
  public boolean hasRoomForRollout(long minVersion) {
    return endpoints.stream()
        .anyMatch(
            endpoint ->
                endpoint.engine().version() >= minVersion
                    && endpoint.hasRoom(RequestClass.ROLLOUT));
  }

  /** Builds a {@link SimulatedPool}. */
  public static final class Builder {
    private final Placement placement;
    private int engines = 8;
    private EngineProfile profile = EngineProfile.DEFAULT;
    private Function<Integer, SlowdownSchedule> slowdowns = index -> SlowdownSchedule.none();
    private Function<Integer, ConcurrencyLimit> limit;
    private AdmissionQueue.Builder queue = AdmissionQueue.builder();
    private double viewIntervalMs = 200;

    private Builder(Placement placement) {
      this.placement = placement;
    }

    /**
     * Sets how many engines there are.
     *
     * @param count at least 1
     */
    public Builder engines(int count) {
      this.engines = count;
      return this;
    }

    /**
     * Sets how fast the engines are.
     *
     * @param value the profile of each
     */
    public Builder profile(EngineProfile value) {
      this.profile = value;
      return this;
    }

    /**
     * Sets when the engines are slow.
     *
     * @param byIndex returns the slowdowns of an engine by its index
     */
    public Builder slowdowns(Function<Integer, SlowdownSchedule> byIndex) {
      this.slowdowns = byIndex;
      return this;
    }

    /**
     * Adds a queue and a limit in front of each engine; without them, requests are forwarded
     * immediately.
     *
     * @param byIndex returns the limit of an engine by its index
     */
    public Builder limit(Function<Integer, ConcurrencyLimit> byIndex) {
      this.limit = byIndex;
      return this;
    }

    /**
     * Sets the settings of the queues.
     *
     * @param value builds each queue
     */
    public Builder queue(AdmissionQueue.Builder value) {
      this.queue = value;
      return this;
    }

    /**
     * Sets how often views are refreshed.
     *
     * @param intervalMs the interval
     */
    public Builder viewIntervalMs(double intervalMs) {
      this.viewIntervalMs = intervalMs;
      return this;
    }

    /**
     * Builds the pool.
     *
     * @param time the clock
     * @param onEnd is called with each request that has ended
     */
    public SimulatedPool build(VirtualTime time, Consumer<SimulatedRequest> onEnd) {
      return new SimulatedPool(this, time, onEnd);
    }
  }
}
