package org.sycamoretrack.bench.connection;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.connection.RequestTraits;

/** Chooses the endpoint of a request, by the policy or by a baseline. */
public sealed interface Placement {
  /**
   * Chooses an endpoint.
   *
   * @param views the views of the endpoints
   * @param traits the traits of the request
   * @param nowMs the current time
   * @return the name of the endpoint, empty when none may serve the request
   */
  Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs);

  /** Chooses the endpoints in turn. */
  final class RoundRobin implements Placement {
    private int next;

    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      next++;
      List<EndpointView> inService = inService(views);
      return Optional.of(inService.get(next % inService.size()).name());
    }
  }

  /**
   * Chooses the endpoint with the fewest requests in flight; ties are broken at random.
   *
   * @param random the random number generator
   */
  record FewestInFlight(RandomGenerator random) implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return smallest(views, EndpointView::inFlight, random);
    }
  }

  /**
   * Chooses the endpoint with the smallest load by its own delayed report; ties are broken at
   * random.
   *
   * @param random the random number generator
   */
  record SmallestReportedLoad(RandomGenerator random) implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return smallest(views, EndpointView::reportedLoad, random);
    }
  }

  /**
   * Chooses by the policy.
   *
   * @param selector the selector
   */
  record BySelector(EndpointSelector selector) implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return selector.choose(views, traits, nowMs);
    }
  }

  private static Optional<String> smallest(
      List<EndpointView> views, ToIntFunction<EndpointView> load, RandomGenerator random) {
    int smallest = inService(views).stream().mapToInt(load).min().orElseThrow();
    List<EndpointView> equal =
        inService(views).stream().filter(view -> load.applyAsInt(view) == smallest).toList();
    return Optional.of(equal.get(random.nextInt(equal.size())).name());
  }

  private static List<EndpointView> inService(List<EndpointView> views) {
    return views.stream().filter(EndpointView::inService).toList();
  }
}
