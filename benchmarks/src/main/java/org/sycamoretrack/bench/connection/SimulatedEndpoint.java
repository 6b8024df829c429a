package org.sycamoretrack.bench.connection;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sycamoretrack.bench.request.SimulatedRequest;
import org.sycamoretrack.core.connection.EndpointStats;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.request.AdmissionQueue;
import org.sycamoretrack.core.request.AdmissionResult;
import org.sycamoretrack.core.request.ConcurrencyLimit;
import org.sycamoretrack.core.request.InFlightCounts;
import org.sycamoretrack.core.request.RequestClass;

/**
 * The state that a node keeps for an endpoint with a simulated engine: measurements, limit and
 * queue.
 *
 * <p>Without a queue (baselines), requests are forwarded immediately.
 */
public final class SimulatedEndpoint implements SimulatedEngine.Listener {
  private static final int TOKENS_PER_PROGRESS = 16;
  private static final double NS_PER_MS = 1e6;

  private final String name;
  private final String zone;
  private final VirtualTime time;
  private final SimulatedEngine engine;
  private final EndpointStats stats = new EndpointStats();
  private final ConcurrencyLimit limit;
  private final AdmissionQueue<SimulatedRequest> queue;
  private final Consumer<SimulatedRequest> onEnd;
  private final Map<SimulatedRequest, Progress> running = new LinkedHashMap<>();
  private InFlightCounts inFlight = InFlightCounts.NONE;
  private boolean inService = true;

  private static final class Progress {
    double startedAtMs;
    double lastTokenAtMs;
    int tokens;
  }

  /**
   * Creates an endpoint without load.
   *
   * @param name its name
   * @param zone its availability zone
   * @param time the clock
   * @param engine the engine
   * @param limit the limit, null to forward all requests immediately
   * @param queue the queue, null without limit
   * @param onEnd is called with each request that has ended
   */
  public SimulatedEndpoint(
      String name,
      String zone,
      VirtualTime time,
      SimulatedEngine engine,
      ConcurrencyLimit limit,
      AdmissionQueue<SimulatedRequest> queue,
      Consumer<SimulatedRequest> onEnd) {
    this.name = name;
    this.zone = zone;
    this.time = time;
    this.engine = engine;
    this.limit = limit;
    this.queue = queue;
    this.onEnd = onEnd;
  }

  /** Returns its name. */
  public String name() {
    return name;
  }

  /** Returns its engine. */
  public SimulatedEngine engine() {
    return engine;
  }

  /** Returns its measurements. */
  public EndpointStats stats() {
    return stats;
  }

  /** Returns the requests that run on it. */
  public List<SimulatedRequest> running() {
    return List.copyOf(running.keySet());
  }

  /** Returns how many requests of both classes may run. */
  public int limit() {
    return limit == null ? Integer.MAX_VALUE : limit.limit();
  }

  /** Returns how many requests run. */
  public InFlightCounts inFlight() {
    return inFlight;
  }

  /** Returns how many requests are queued. */
  public int queued() {
    return queue == null ? 0 : queue.size();
  }

  /**
   * Sets whether it is in service.
   *
   * @param value whether it gets new requests
   */
  public void inService(boolean value) {
    this.inService = value;
  }

  /**
   * Queues a request, or sends it where there is no queue.
   *
   * @param request the request
   * @param expectedTokens the expected number of output tokens
   * @param rank its order in its flow
   */
  public void offer(SimulatedRequest request, long expectedTokens, int rank) {
    if (queue == null) {
      send(request);
      return;
    }
    boolean accepted =
        queue.offer(
            request,
            request.requestClass(),
            request.flow(),
            expectedTokens,
            (long) Math.min(Long.MAX_VALUE, request.deadlineMs()),
            time.nowWholeMs(),
            rank);
    if (accepted) {
      dispatchQueued();
    } else {
      end(request, SimulatedRequest.State.REFUSED);
    }
  }

  /** Sends queued requests that may start and ends those that have expired. */
  public void dispatchQueued() {
    if (queue == null) {
      return;
    }
    boolean more = true;
    while (more) {
      switch (queue.poll(time.nowWholeMs(), inFlight, limit.limit())) {
        case AdmissionResult.Admitted<SimulatedRequest> admitted -> send(admitted.item());
        case AdmissionResult.Expired<SimulatedRequest> expired ->
            end(expired.item(), SimulatedRequest.State.EXPIRED);
        case AdmissionResult.NoneReady<SimulatedRequest> noneReady -> more = false;
      }
    }
  }

  /**
   * Cancels a running request, so that it can continue on another endpoint.
   *
   * @param request the request
   */
  public void cancel(SimulatedRequest request) {
    if (running.remove(request) == null) {
      return;
    }
    engine.cancel(request);
    inFlight = inFlight.minus(request.requestClass());
    stats.onCancelled();
    if (limit != null) {
      limit.onCancelled();
    }
    dispatchQueued();
  }

  /** Returns its current view. */
  public EndpointView view() {
    return stats
        .view(name, zone, time.nowWholeMs())
        .reportedLoad(engine.reportedLoad())
        .limit(limit())
        .queuedTokens(queue == null ? 0 : queue.queuedTokens())
        .inService(inService)
        .servedVersion(engine.version())
        .build();
  }

  @Override
  public void onToken(SimulatedRequest request, boolean first) {
    Progress progress = running.get(request);
    if (first) {
      stats.onFirstToken(time.nowWholeMs(), time.nowMs() - request.sentAtMs());
      progress.startedAtMs = time.nowMs();
      progress.lastTokenAtMs = time.nowMs();
      return;
    }
    stats.onTokens(time.nowWholeMs(), time.nowMs() - progress.lastTokenAtMs, 1);
    progress.lastTokenAtMs = time.nowMs();
    progress.tokens++;
    if (progress.tokens == TOKENS_PER_PROGRESS) {
      if (limit != null) {
        limit.onProgress(
            (long) ((time.nowMs() - progress.startedAtMs) * NS_PER_MS), progress.tokens);
      }
      progress.startedAtMs = time.nowMs();
      progress.tokens = 0;
    }
  }

  @Override
  public void onEnd(SimulatedRequest request) {
    Progress progress = running.remove(request);
    inFlight = inFlight.minus(request.requestClass());
    stats.onSuccess();
    if (limit != null) {
      limit.onSuccess((long) ((time.nowMs() - progress.startedAtMs) * NS_PER_MS), progress.tokens);
    }
    end(request, SimulatedRequest.State.DONE);
    dispatchQueued();
  }

  /**
   * Returns whether one more request of a class could start now.
   *
   * @param requestClass the class
   */
  public boolean hasRoom(RequestClass requestClass) {
    return inService
        && queued() == 0
        && inFlight.total() < limit()
        && (queue == null
            || requestClass == RequestClass.INTERACTIVE
            || inFlight.rollout() < limit() - queue.reservedSlots(limit()));
  }

  private void send(SimulatedRequest request) {
    inFlight = inFlight.plus(request.requestClass());
    running.put(request, new Progress());
    stats.onStart(time.nowWholeMs());
    if (limit != null) {
      limit.onStart();
    }
    engine.submit(request, this);
  }

  private void end(SimulatedRequest request, SimulatedRequest.State state) {
    request.onEnd(state, time.nowMs());
    onEnd.accept(request);
  }
}
