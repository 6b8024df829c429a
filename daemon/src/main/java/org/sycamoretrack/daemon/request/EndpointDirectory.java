package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.daemon.client.EngineClient;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.daemon.process.NodeMetrics;

/**
 * The workers of this node, one for each model engine that this node has used.
 *
 * <p>When an engine's address changes, a new worker is created; attempts on the old worker complete
 * there. Thread-safe.
 */
public final class EndpointDirectory {
  private final EventLoopGroup loops;
  private final EngineClient client;
  private final PoisonGuard poison;
  private final NodeLimits limits;
  private final NodeMetrics metrics;
  private final Map<String, EndpointTarget> targets = new ConcurrentHashMap<>();
  private final Map<String, EndpointWorker> workers = new ConcurrentHashMap<>();

  /**
   * Creates an empty directory.
   *
   * @param loops the event loops; each worker is confined to one
   * @param client calls the engines
   * @param poison detects requests that crash endpoints
   * @param limits the node's limits
   * @param metrics the node's metrics
   */
  public EndpointDirectory(
      EventLoopGroup loops,
      EngineClient client,
      PoisonGuard poison,
      NodeLimits limits,
      NodeMetrics metrics) {
    this.loops = loops;
    this.client = client;
    this.poison = poison;
    this.limits = limits;
    this.metrics = metrics;
  }

  /**
   * Sets the known engines and removes the workers of all others.
   *
   * @param current all model engines of the configuration
   */
  public void setTargets(Collection<EndpointTarget> current) {
    List<String> names = current.stream().map(EndpointTarget::name).toList();
    current.forEach(target -> targets.put(target.name(), target));
    targets.keySet().retainAll(names);
    workers.keySet().retainAll(names);
  }

  /** Returns the workers that exist. */
  Collection<EndpointWorker> workers() {
    return workers.values();
  }

  /** Returns the worker of an engine, or null when this node has not used the engine. */
  EndpointWorker worker(String endpoint) {
    return workers.get(endpoint);
  }

  /** Runs an attempt on this node rather than on the endpoint's owner. */
  Generation runLocally(String endpoint, GenerationRequest request, GenerationListener listener) {
    EndpointTarget target = targets.get(endpoint);
    if (target == null) {
      listener.onFailed(
          GenerationFailure.notRun(
              ErrorCode.NO_ENDPOINT, "endpoint " + endpoint + " is unknown to this node"));
      return () -> {};
    }
    EndpointWorker worker =
        workers.compute(
            endpoint,
            (name, known) ->
                known != null && known.target().equals(target) ? known : newWorker(target));
    return worker.run(request, listener);
  }

  private EndpointWorker newWorker(EndpointTarget target) {
    EventLoop loop = loops.next();
    return new EndpointWorker(target, loop, client, poison, limits, metrics);
  }
}
