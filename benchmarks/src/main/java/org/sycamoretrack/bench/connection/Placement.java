package org.sycamoretrack.bench.connection;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.connection.RequestTraits;

/** How the endpoint of a request is chosen: by the policy or by a baseline. */
public sealed interface Placement {
  /**
   * Chooses an endpoint.
   *
   * @param views what is known of the endpoints
   * @param traits what matters of the request
   * @param nowMs the time now
   * @return the name of the endpoint, empty when none may serve the request
   */
  Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs);

  /** Each endpoint in turn. */
  final class RoundRobin implements Placement {
    private int next;

    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      next++;
      List<EndpointView> inService = inService(views);
      return Optional.of(inService.get(next % inService.size()).name());
    }
  }

  /** The endpoint with the fewest requests in flight. */
  record FewestInFlight() implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return inService(views).stream()
          .min(Comparator.comparingInt(EndpointView::inFlight))
          .map(EndpointView::name);
    }
  }

  /** The endpoint with the smallest load by its own late report. */
  record SmallestReportedLoad() implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return inService(views).stream()
          .min(Comparator.comparingInt(EndpointView::reportedLoad))
          .map(EndpointView::name);
    }
  }

  /**
   * The policy.
   *
   * @param selector the selector
   */
  record BySelector(EndpointSelector selector) implements Placement {
    @Override
    public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
      return selector.choose(views, traits, nowMs);
    }
  }

  private static List<EndpointView> inService(List<EndpointView> views) {
    return views.stream().filter(EndpointView::inService).toList();
  }
}
