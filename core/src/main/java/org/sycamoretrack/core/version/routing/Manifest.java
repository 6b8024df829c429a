package org.sycamoretrack.core.version.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of a deployment's routes and services. Immutable.
 *
 * <p>A request matches the route of its host with the longest prefix of its path. Prefixes end with
 * a slash, so the routes of a host are kept in a map by prefix, and a lookup shortens the path
 * segment by segment until a prefix is found. The cost of a lookup grows with the depth of the path
 * and not with the number of routes.
 *
 * <p>Example: given the prefixes {@code /a/} and {@code /a/b/}, the lookup of {@code /a/b/c} tries
 * {@code /a/b/}, and that of {@code /a/x/y} tries {@code /a/x/}, then {@code /a/}.
 */
public final class Manifest {
  private final long version;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
  private final Map<String, RoutedService> services = new HashMap<>();
  private final long idleTimeoutMs;
  private final CustomerKeys customers;

  /**
   * Creates a manifest that defines no customers.
   *
   * @param version its version; a higher version replaces a lower one
   * @param routes the routes
   * @param services the services
   * @param idleTimeoutMs the idle timeout of client connections, in milliseconds
   */
  public Manifest(
      long version, List<Route> routes, List<RoutedService> services, long idleTimeoutMs) {
    this(version, routes, services, idleTimeoutMs, null);
  }

  private Manifest(
      long version,
      List<Route> routes,
      List<RoutedService> services,
      long idleTimeoutMs,
      CustomerKeys customers) {
    this.version = version;
    this.idleTimeoutMs = idleTimeoutMs;
    this.customers = customers;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), any -> new HashMap<>()).put(route.prefix(), route);
    }
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /**
   * Returns this manifest with customers, whose keys callers need from then on.
   *
   * @param keys the keys of all customers
   */
  public Manifest withCustomers(CustomerKeys keys) {
    return new Manifest(
        version, routes(), List.copyOf(services.values()), idleTimeoutMs, requireNonNull(keys));
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the idle timeout of client connections, in milliseconds. */
  public long idleTimeoutMs() {
    return idleTimeoutMs;
  }

  /** Returns the keys of the customers; empty if the manifest defines no customers. */
  public Optional<CustomerKeys> customers() {
    return Optional.ofNullable(customers);
  }

  /** Returns the services by name. */
  public Map<String, RoutedService> services() {
    return Map.copyOf(services);
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(byPrefix -> byPrefix.values().stream()).toList();
  }

  /**
   * Returns the host name of a Host header, in lower case and without a port.
   *
   * @param hostHeader the value of the header
   */
  public static String hostName(String hostHeader) {
    int colon = hostHeader.indexOf(':');
    return (colon < 0 ? hostHeader : hostHeader.substring(0, colon)).toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the route that a request matches.
   *
   * @param host the host of the request
   * @param path the path of the request, without the query
   */
  public Optional<Route> route(String host, String path) {
    Map<String, Route> byPrefix = routesByHost.get(host);
    if (byPrefix == null) {
      return Optional.empty();
    }
    int end = path.lastIndexOf('/');
    while (end >= 0) {
      Route route = byPrefix.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return Optional.empty();
  }
}
