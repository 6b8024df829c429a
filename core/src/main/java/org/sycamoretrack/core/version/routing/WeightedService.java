package org.sycamoretrack.core.version.routing;

/**
 * A service with its share of a route.
 *
 * @param service the name of the service
 * @param weight its share, relative to the other services of the route; 0 or more
 */
public record WeightedService(String service, int weight) {}
