package org.sycamoretrack.core.version.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An immutable snapshot of the endpoints of a deployment. */
public final class Fleet {
  /** A fleet without endpoints. */
  public static final Fleet EMPTY = new Fleet(List.of());

  private final Map<String, Endpoint> byId = new TreeMap<>();

  /**
   * Creates a fleet.
   *
   * @param endpoints the endpoints, with distinct ids
   */
  public Fleet(Collection<Endpoint> endpoints) {
    endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
  }

  /**
   * Returns the endpoint with a given id.
   *
   * @param id the id
   * @return the endpoint, or null if it isn't listed
   */
  public Endpoint find(String id) {
    return byId.get(id);
  }

  /**
   * Returns whether an endpoint is listed and may get new work.
   *
   * @param id its id
   */
  public boolean isInService(String id) {
    Endpoint endpoint = byId.get(id);
    return endpoint != null && !endpoint.draining();
  }

  /**
   * Returns the endpoints of a service that may get new work, ordered by id.
   *
   * @param service the name of the service
   */
  public List<Endpoint> inService(String service) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.service().equals(service) && !endpoint.draining())
        .sorted(Comparator.comparing(Endpoint::id))
        .toList();
  }

  /** Returns all listed endpoints, including draining ones. */
  public Collection<Endpoint> all() {
    return List.copyOf(byId.values());
  }
}
