package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.connection.RequestTraits;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.request.RetryBudget;

/**
 * Chooses an endpoint for each attempt of a request and continues on another endpoint when one
 * fails.
 *
 * <p>An {@link EndpointSelector} makes the choice from the current {@link RoutingTable}. A {@link
 * GenerationRun} keeps the output of earlier attempts and continues after it. Retries after an
 * attempt that failed without generating a token are limited by a {@link RetryBudget} for each
 * request class.
 *
 * <p>Thread-safe; each run is confined to the event loop of its listener.
 */
public final class Dispatcher implements Generator {
  private static final int PREFIX_CHARS = 64;

  private final String zone;
  private final Supplier<RoutingTable> routes;
  private final EndpointGateway gateway;
  private final RetryBudget interactiveBudget = new RetryBudget();
  private final RetryBudget rolloutBudget = new RetryBudget();

  /**
   * Creates a dispatcher.
   *
   * @param zone the node's zone, whose endpoints are preferred
   * @param routes supplies the current routing table
   * @param gateway runs the attempts
   */
  public Dispatcher(String zone, Supplier<RoutingTable> routes, EndpointGateway gateway) {
    this.zone = zone;
    this.routes = routes;
    this.gateway = gateway;
  }

  @Override
  public Generation generate(
      GenerationRequest request, GenerationListener listener, EventLoop loop) {
    RetryBudget budget = budget(request.requestClass());
    synchronized (budget) {
      budget.onRequest();
    }
    GenerationRun run = new GenerationRun(this, request, listener, loop);
    run.start();
    return run;
  }

  private RetryBudget budget(RequestClass requestClass) {
    return switch (requestClass) {
      case INTERACTIVE -> interactiveBudget;
      case ROLLOUT -> rolloutBudget;
    };
  }

  /** Takes one retry out of the budget and returns whether there was one. */
  boolean tryRetry(RequestClass requestClass) {
    RetryBudget budget = budget(requestClass);
    synchronized (budget) {
      return budget.tryRetry();
    }
  }

  EndpointGateway gateway() {
    return gateway;
  }

  /** Returns the endpoint with a given name, if it is in service. */
  Optional<EndpointRoute> route(String endpoint) {
    return routes.get().ofName(endpoint).filter(route -> route.view().inService());
  }

  /** Chooses an endpoint for the next attempt; empty when none may serve the request now. */
  Optional<EndpointRoute> choose(GenerationRequest request, Set<String> excluded) {
    RoutingTable table = routes.get();
    List<EndpointRoute> candidates = table.ofPools(request.pools());
    RequestTraits traits =
        new RequestTraits(
            request.requestClass(),
            zone,
            prefixHash(request.prompt()),
            request.oldestVersion(),
            Math.max(1, request.maxTokens() - request.priorTokens()),
            excluded);
    long nowMs = MonotonicClock.nowMs();
    return new EndpointSelector(ThreadLocalRandom.current())
        .choose(candidates.stream().map(EndpointRoute::view).toList(), traits, nowMs)
        .flatMap(table::ofName);
  }

  private static long prefixHash(String prompt) {
    return prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length())).hashCode();
  }
}
