package org.sycamoretrack.core.version.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The endpoints of a deployment at one moment. Immutable. */
public final class Fleet {
  /** A fleet without endpoints. */
  public static final Fleet EMPTY = new Fleet(List.of());

  private final Map<String, Endpoint> byId = new TreeMap<>();

  /**
   * Creates a fleet.
   *
   * @param endpoints the endpoints, each id once
   */
  public Fleet(Collection<Endpoint> endpoints) {
    endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
  }

  /**
   * Returns an endpoint.
   *
   * @param id its id
   * @return the endpoint; null when it isn't listed
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
   * Returns the endpoints of a service that may get new work, in the order of their ids.
   *
   * @param service the service
   */
  public List<Endpoint> inService(String service) {
    return byId.values().stream()
        .filter(endpoint -> endpoint.service().equals(service) && !endpoint.draining())
        .sorted(Comparator.comparing(Endpoint::id))
        .toList();
  }

  /** Returns all endpoints that are listed, leaving ones too. */
  public Collection<Endpoint> all() {
    return List.copyOf(byId.values());
  }
}
