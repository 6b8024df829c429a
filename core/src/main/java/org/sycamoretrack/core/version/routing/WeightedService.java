package org.sycamoretrack.core.version.routing;

/**
 * A service with its weight in a route.
 *
 * @param service the name of the service
 * @param weight its share of the requests, relative to the other services of the route; 0 or more
 */
public record WeightedService(String service, int weight) {}
