package org.sycamoretrack.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sycamoretrack.core.request.RequestClass;

/**
 * Selects the endpoint of a request from a list of endpoint snapshots.
 *
 * <p>The rules, in order:
 *
 * <ol>
 *   <li>Ineligible endpoints are skipped: those out of service, excluded, or with weights that are
 *       too old. Ejected endpoints are skipped too if at least half of the eligible ones are in
 *       use; otherwise the whole pool is probably affected, and ejection is ignored.
 *   <li>If an endpoint is due for a probe, a rollout request goes to it; of the interactive
 *       requests only one in {@value #INTERACTIVE_REQUESTS_PER_PROBE}, so that probes are made by
 *       rollout requests where there are any.
 *   <li>Only endpoints of the preferred zone are considered, if one of them has a free slot or no
 *       other zone has one.
 *   <li>A request with a shared prefix goes to the endpoint that the prefix hashes to, if its
 *       expected completion time there is at most {@value #AFFINITY_SLACK} times the best one.
 *   <li>Otherwise the better one of two random candidates by expected completion time is selected
 *       (power of two choices), so that nodes with equally old snapshots don't all select the same
 *       endpoint. If all snapshots are at most {@value #FRESH_MS} ms old, all candidates are
 *       compared.
 * </ol>
 *
 * <p>Expected completion time: the time to the first token, plus the time to generate the expected
 * tokens at the measured speed, plus the time until queued work and work above the limit has
 * completed. The generation time is increased with the fill level of the endpoint, because the
 * measured speed lags behind it.
 */
public final class EndpointSelector {
  private static final double AFFINITY_SLACK = 1.25;
  private static final double FILL_SLOWDOWN = 0.25;
  private static final long FRESH_MS = 20;
  private static final int INTERACTIVE_REQUESTS_PER_PROBE = 8;
  private static final double MIN_SHARE_IN_USE = 0.5;

  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param random the source of random choices
   */
  public EndpointSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Selects an endpoint.
   *
   * @param views the snapshots of the endpoints of the pool
   * @param traits the properties of the request
   * @param nowMs the current time
   * @return the name of the endpoint, or empty if none is eligible
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
    boolean enoughInUse = inUse.size() >= MIN_SHARE_IN_USE * allowed.size();
    List<EndpointView> candidates = preferZone(enoughInUse ? inUse : allowed, traits.zone());
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(chooseAmong(candidates, traits, nowMs).name());
  }

  /**
   * Returns the expected completion time of a request on an endpoint.
   *
   * @param view the endpoint
   * @param expectedTokens the expected number of tokens of the request
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
      case INTERACTIVE -> noneInUse || random.nextInt(INTERACTIVE_REQUESTS_PER_PROBE) == 0;
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
    boolean keepLocal = !local.isEmpty() && (localFree || !remoteFree);
    return keepLocal ? local : views;
  }

  private EndpointView chooseAmong(
      List<EndpointView> candidates, RequestTraits traits, long nowMs) {
    Comparator<EndpointView> byCompletion =
        Comparator.comparingDouble(view -> expectedCompletionMs(view, traits.expectedTokens()));
    EndpointView best = candidates.stream().min(byCompletion).orElseThrow();
    if (traits.prefixHash() != 0) {
      EndpointView preferred = affinityEndpoint(candidates, traits.prefixHash());
      double bestMs = expectedCompletionMs(best, traits.expectedTokens());
      if (expectedCompletionMs(preferred, traits.expectedTokens()) <= AFFINITY_SLACK * bestMs) {
        return preferred;
      }
    }
    if (candidates.stream().allMatch(view -> nowMs - view.asOfMs() <= FRESH_MS)) {
      return best;
    }
    EndpointView first = candidates.get(random.nextInt(candidates.size()));
    EndpointView second = candidates.get(random.nextInt(candidates.size()));
    return byCompletion.compare(first, second) <= 0 ? first : second;
  }

  /** Returns the endpoint that a prefix hashes to, by rendezvous hashing. */
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
