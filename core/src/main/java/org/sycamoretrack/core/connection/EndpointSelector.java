package org.sycamoretrack.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sycamoretrack.core.request.RequestClass;

/**
 * Chooses the endpoint of a request from a list of views.
 *
 * <p>In order:
 *
 * <ol>
 *   <li>Endpoints that may not serve it fall out: out of service, excluded, older weights. Ejected
 *       ones fall out too, as long as at least half of the rest is in use; below that, the reason
 *       is likelier the pool than the endpoints, and ejection is ignored.
 *   <li>A rollout request goes to an endpoint that is due a probe; of interactive ones, one in
 *       {@value #INTERACTIVE_CALLS_PER_PROBE}, so that rollout work probes first where there is
 *       any.
 *   <li>Endpoints of the preferred zone are kept, if one of them has a free slot or no other zone
 *       has one.
 *   <li>With a prefix: the endpoint that the prefix hashes to, if the completion expected there is
 *       at most {@value #AFFINITY_SLACK} times the best one.
 *   <li>Otherwise, two candidates are drawn and the one with the earlier expected completion is
 *       chosen, so that nodes with equally old views don't all choose the same. Views younger than
 *       {@value #FRESH_MS} ms are all compared.
 * </ol>
 *
 * <p>Expected completion: the time to the first token and of the expected tokens at the measured
 * speed, somewhat more on an endpoint that is filled, which the measured speed shows late; plus the
 * time until queued work and work above the limit has passed.
 */
public final class EndpointSelector {
  private static final double AFFINITY_SLACK = 1.25;
  private static final double FILL_SLOWDOWN = 0.25;
  private static final long FRESH_MS = 20;
  private static final int INTERACTIVE_CALLS_PER_PROBE = 8;
  private static final double MIN_SHARE_IN_USE = 0.5;

  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param random the source of chance for the draw of candidates
   */
  public EndpointSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Chooses an endpoint.
   *
   * @param views what is known of the endpoints of the pool
   * @param traits what matters of the request
   * @param nowMs the time now
   * @return the name of the endpoint, empty when none may serve the request
   */
  public Optional<String> choose(List<EndpointView> views, RequestTraits traits, long nowMs) {
    List<EndpointView> allowed = views.stream().filter(view -> isAllowed(view, traits)).toList();
    List<EndpointView> inUse =
        allowed.stream().filter(view -> view.ejection() == EjectionState.IN_USE).toList();
    Optional<EndpointView> due =
        allowed.stream().filter(view -> view.ejection() == EjectionState.PROBE_DUE).findFirst();
    if (due.isPresent() && mayProbe(traits.requestClass(), inUse.isEmpty())) {
      return due.map(EndpointView::name);
    }
    boolean enough = inUse.size() >= MIN_SHARE_IN_USE * allowed.size();
    List<EndpointView> candidates = preferZone(enough ? inUse : allowed, traits.zone());
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(chooseAmong(candidates, traits, nowMs).name());
  }

  /**
   * Returns the completion that is expected of a request on an endpoint.
   *
   * @param view the endpoint
   * @param expectedTokens the tokens of the request
   * @return milliseconds from now
   */
  public static double expectedCompletionMs(EndpointView view, long expectedTokens) {
    int limit = Math.max(1, view.limit());
    double aheadTokens = view.queuedTokens();
    int excess = view.inFlight() + 1 - limit;
    if (excess > 0) {
      aheadTokens += (double) excess * expectedTokens;
    }
    double waitMs = aheadTokens / limit * view.timePerTokenMs();
    double fill = Math.min(1, (double) view.inFlight() / limit);
    double runMs = expectedTokens * view.timePerTokenMs() * (1 + FILL_SLOWDOWN * fill);
    return waitMs + view.timeToFirstTokenMs() + runMs;
  }

  private static boolean isAllowed(EndpointView view, RequestTraits traits) {
    return view.inService()
        && view.servedVersion() >= traits.minWeightVersion()
        && !traits.excluded().contains(view.name());
  }

  private boolean mayProbe(RequestClass requestClass, boolean noneInUse) {
    return switch (requestClass) {
      case ROLLOUT -> true;
      case INTERACTIVE -> noneInUse || random.nextInt(INTERACTIVE_CALLS_PER_PROBE) == 0;
    };
  }

  private static List<EndpointView> preferZone(List<EndpointView> views, String zone) {
    List<EndpointView> local = new ArrayList<>();
    boolean localFree = false;
    boolean remoteFree = false;
    for (EndpointView view : views) {
      boolean free = view.inFlight() < view.limit();
      if (view.zone().equals(zone)) {
        local.add(view);
        localFree |= free;
      } else {
        remoteFree |= free;
      }
    }
    boolean stay = !local.isEmpty() && (localFree || !remoteFree);
    return stay ? local : views;
  }

  private EndpointView chooseAmong(
      List<EndpointView> candidates, RequestTraits traits, long nowMs) {
    Comparator<EndpointView> byCompletion =
        Comparator.comparingDouble(view -> expectedCompletionMs(view, traits.expectedTokens()));
    EndpointView best = candidates.stream().min(byCompletion).orElseThrow();
    if (traits.prefixHash() != 0) {
      EndpointView home = affinityEndpoint(candidates, traits.prefixHash());
      double bestMs = expectedCompletionMs(best, traits.expectedTokens());
      if (expectedCompletionMs(home, traits.expectedTokens()) <= AFFINITY_SLACK * bestMs) {
        return home;
      }
    }
    if (candidates.stream().allMatch(view -> nowMs - view.asOfMs() <= FRESH_MS)) {
      return best;
    }
    EndpointView first = candidates.get(random.nextInt(candidates.size()));
    EndpointView second = candidates.get(random.nextInt(candidates.size()));
    return byCompletion.compare(first, second) <= 0 ? first : second;
  }

  /** Returns the endpoint that a prefix hashes to: the one with the highest mixed hash. */
  private static EndpointView affinityEndpoint(List<EndpointView> candidates, long prefixHash) {
    return candidates.stream()
        .max(Comparator.comparingLong(view -> mix(prefixHash, view.name())))
        .orElseThrow();
  }

  private static long mix(long prefixHash, String name) {
    long mixed = prefixHash ^ (name.hashCode() * 0x9E3779B97F4A7C15L);
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
