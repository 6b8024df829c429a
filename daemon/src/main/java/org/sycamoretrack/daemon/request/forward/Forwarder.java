package org.sycamoretrack.daemon.request.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.connection.ZoneWork;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.ServiceTimes;
import org.sycamoretrack.core.request.StopAdmission;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.Route;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.EndpointClient.PlainRequest;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.usage.UsageMeter;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Forwards plain requests to endpoints of their service. See {@link ForwardedCall} for the rules of
 * retries and hedging.
 *
 * <p>Confined to the traffic loop.
 */
public final class Forwarder {
  private final EndpointClient endpoints;
  private final Supplier<DeploymentView> views;
  private final SlotTracker tracker;
  private final SlotPlacement placement;
  private final EventLoop loop;
  private final StoreBackedNodeMetrics metrics;
  private final EndpointCrashes crashes;
  private final Map<String, ServiceTimes> times = new HashMap<>();
  private final Set<ForwardedCall> running = new HashSet<>();
  private UsageMeter usage = UsageMeter.off();
  private long stopEndMs = Long.MAX_VALUE;

  /**
   * Creates a forwarder.
   *
   * @param endpoints the client of the endpoints, which calls its listeners on the loop
   * @param views supplies the current view of the deployment
   * @param tracker the slots in use
   * @param placement selects endpoints
   * @param loop the traffic loop
   * @param metrics counts requests
   * @param poison tells which requests crash endpoints
   */
  public Forwarder(
      EndpointClient endpoints,
      Supplier<DeploymentView> views,
      SlotTracker tracker,
      SlotPlacement placement,
      EventLoop loop,
      StoreBackedNodeMetrics metrics,
      PoisonGuard poison) {
    this.endpoints = endpoints;
    this.views = views;
    this.tracker = tracker;
    this.placement = placement;
    this.loop = loop;
    this.metrics = metrics;
    this.crashes = new EndpointCrashes(endpoints, poison, loop, () -> views.get().fleet());
  }

  /**
   * Forwards a request.
   *
   * @param route the route of the request
   * @param request the request
   * @param timeoutMs how long the caller waits, in milliseconds
   * @param onOutcome called once, unless the call is cancelled
   * @return the call, which can be cancelled
   */
  public ForwardedCall forward(
      Route route, PlainRequest request, long timeoutMs, Consumer<ForwardOutcome> onOutcome) {
    ForwardedCall call = new ForwardedCall(this, route, request, timeoutMs, onOutcome);
    call.start();
    return call;
  }

  /**
   * Counts the requests that are forwarded from now on.
   *
   * @param meter counts the requests
   */
  public void countUsage(UsageMeter meter) {
    usage = meter;
  }

  UsageMeter usage() {
    return usage;
  }

  /**
   * Begins a planned stop. From now on, a request is sent only if {@link StopAdmission} expects its
   * response in time, and what is still running at the end times out.
   *
   * @param endMs the end of the grace period, by {@link MonotonicClock}
   */
  public void stopBy(long endMs) {
    stopEndMs = endMs;
    running.forEach(call -> call.limitTo(endMs));
  }

  /** Returns the time at which all calls have to end, {@link Long#MAX_VALUE} if there is none. */
  long stopEndMs() {
    return stopEndMs;
  }

  /** Returns whether a request that may take so long may still be sent to a service. */
  boolean maySend(Route route, String service, long limitMs, long nowMs) {
    return stopEndMs == Long.MAX_VALUE
        || StopAdmission.admits(
            route.kind(),
            limitMs,
            times.getOrDefault(service, new ServiceTimes()),
            stopEndMs - nowMs);
  }

  void onStarted(ForwardedCall call) {
    running.add(call);
  }

  void onEnded(ForwardedCall call) {
    running.remove(call);
  }

  /** Called when a request has been answered, or has timed out, after so long. */
  void onDuration(String service, long durationMs) {
    times.computeIfAbsent(service, name -> new ServiceTimes()).add(durationMs);
  }

  StoreBackedNodeMetrics metrics() {
    return metrics;
  }

  EndpointClient endpoints() {
    return endpoints;
  }

  SlotTracker tracker() {
    return tracker;
  }

  EndpointCrashes crashes() {
    return crashes;
  }

  /**
   * Returns an endpoint that hasn't been tried and may run the request, or null if none may. A
   * further attempt may go to any zone, since the endpoint that failed may stand for its zone.
   */
  Endpoint choose(String service, String fingerprint, Set<String> tried, int bodyBytes) {
    List<Endpoint> candidates =
        views.get().fleet().inService(service).stream()
            .filter(endpoint -> !tried.contains(endpoint.id()))
            .filter(endpoint -> crashes.maySend(fingerprint, endpoint))
            .toList();
    long nowMs = MonotonicClock.nowMs();
    return tried.isEmpty()
        ? placement.choose(ZoneWork.plain(service, bodyBytes), candidates, Set.of(), nowMs)
        : placement.chooseAny(candidates, nowMs);
  }

  void schedule(Runnable action, long delayMs) {
    loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }
}
