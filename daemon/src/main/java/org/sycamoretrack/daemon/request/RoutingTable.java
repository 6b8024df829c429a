package org.sycamoretrack.daemon.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All endpoints by pool and by name, whether in service or not. An immutable snapshot, which the
 * control thread builds several times a second and the traffic threads read.
 */
public final class RoutingTable {
  /** A table without endpoints. */
  public static final RoutingTable EMPTY = new RoutingTable(List.of());

  private final Map<String, List<EndpointRoute>> byPool = new HashMap<>();
  private final Map<String, EndpointRoute> byName = new HashMap<>();

  /**
   * Creates a table.
   *
   * @param routes the endpoints
   */
  public RoutingTable(List<EndpointRoute> routes) {
    for (EndpointRoute route : routes) {
      byName.put(route.target().name(), route);
      byPool.computeIfAbsent(route.target().pool(), unused -> new ArrayList<>()).add(route);
    }
  }

  /**
   * Returns the endpoints of a pool.
   *
   * @param pool the pool's name
   */
  public List<EndpointRoute> ofPool(String pool) {
    return byPool.getOrDefault(pool, List.of());
  }

  /**
   * Returns the endpoints of several pools.
   *
   * @param pools the pools' names
   */
  public List<EndpointRoute> ofPools(List<String> pools) {
    if (pools.size() == 1) {
      return ofPool(pools.get(0));
    }
    List<EndpointRoute> routes = new ArrayList<>();
    pools.forEach(pool -> routes.addAll(ofPool(pool)));
    return routes;
  }

  /**
   * Returns the endpoint with a name, or empty if there is none.
   *
   * @param name the name of the endpoint
   */
  public Optional<EndpointRoute> ofName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns all endpoints. */
  public List<EndpointRoute> all() {
    return List.copyOf(byName.values());
  }
}
