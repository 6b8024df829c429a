package org.sycamoretrack.core.version.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * The endpoints of the platform's list, with those whose entries may have expired only because the
 * platform's store was unavailable.
 *
 * <p>An entry expires when its endpoint doesn't renew it. After an outage of the store many entries
 * are therefore missing although their endpoints are alive. While {@linkplain #remove removals} may
 * be such expirations, an endpoint is retained without an entry if at least half of the endpoints
 * of its service have none. Fewer missing endpoints are assumed to have left. A draining endpoint
 * isn't retained, as it has announced that it leaves.
 *
 * <p>Invariant: whether an endpoint is retained depends only on whether its entry was written after
 * the removal, not on what the entry says. An entry that is renewed usually equals the one that
 * expired.
 *
 * <p>Example: of the endpoints {@code a} and {@code b} of a service the entries of both are removed
 * after an outage, so both are retained. The entry of {@code a} is written again. {@link
 * #removeRetained} then removes {@code b} and leaves {@code a}.
 *
 * <p>Not thread-safe.
 */
public final class EndpointList {
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Set<String> retained = new HashSet<>();

  /** Creates an empty list. */
  public EndpointList() {}

  /** Returns all endpoints, including retained ones. */
  public Collection<Endpoint> all() {
    return List.copyOf(endpoints.values());
  }

  /** Returns the ids of all endpoints, including retained ones. */
  public Set<String> ids() {
    return Set.copyOf(endpoints.keySet());
  }

  /**
   * Adds an endpoint whose entry was written, or replaces the one with its id.
   *
   * @param endpoint the endpoint
   * @return the endpoint that had the id, or null if none had
   */
  public Endpoint put(Endpoint endpoint) {
    retained.remove(endpoint.id());
    return endpoints.put(endpoint.id(), endpoint);
  }

  /**
   * Changes what is known of an endpoint, if it is listed. Whether it is retained stays as it is.
   *
   * @param id the id of the endpoint
   * @param change returns the changed endpoint
   */
  public void update(String id, UnaryOperator<Endpoint> change) {
    endpoints.computeIfPresent(id, (unused, endpoint) -> change.apply(endpoint));
  }

  /**
   * Removes an endpoint whose entry can't be used. It is not retained, since its entry hasn't
   * expired.
   *
   * @param id the id of the endpoint
   */
  public void removeUnusable(String id) {
    retained.remove(id);
    endpoints.remove(id);
  }

  /**
   * Handles the removal of entries that were seen together.
   *
   * @param ids the ids of the entries; those that aren't listed or are retained already are ignored
   * @param mayHaveExpired whether the entries may have expired during an outage of the store
   * @return whether endpoints were retained
   */
  public boolean remove(Collection<String> ids, boolean mayHaveExpired) {
    Set<String> missing = new HashSet<>(ids);
    missing.retainAll(endpoints.keySet());
    missing.removeAll(retained);
    if (missing.isEmpty()) {
      return false;
    }
    Map<String, Integer> listedCounts = countByService(endpoints.keySet());
    Set<String> withoutEntry = new HashSet<>(missing);
    withoutEntry.addAll(retained);
    Map<String, Integer> missingCounts = countByService(withoutEntry);
    boolean anyRetained = false;
    for (String id : missing) {
      Endpoint endpoint = endpoints.get(id);
      String service = endpoint.service();
      if (mayHaveExpired
          && !endpoint.draining()
          && 2 * missingCounts.get(service) >= listedCounts.get(service)) {
        retained.add(id);
        anyRetained = true;
      } else {
        endpoints.remove(id);
      }
    }
    return anyRetained;
  }

  /**
   * Removes the endpoints that are still retained. Called when entries that expired during an
   * outage would have been written again.
   *
   * @return whether endpoints were removed
   */
  public boolean removeRetained() {
    boolean removed = endpoints.keySet().removeAll(retained);
    retained.clear();
    return removed;
  }

  private Map<String, Integer> countByService(Set<String> ids) {
    Map<String, Integer> counts = new HashMap<>();
    ids.forEach(id -> counts.merge(endpoints.get(id).service(), 1, Integer::sum));
    return counts;
  }
}
