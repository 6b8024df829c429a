package org.sycamoretrack.daemon.request;

import java.net.InetSocketAddress;

/**
 * Where an endpoint is and what it serves.
 *
 * @param name the endpoint's name
 * @param pool its pool
 * @param zone its availability zone
 * @param address where it listens
 * @param model the model that it serves; empty for a plain service
 */
public record EndpointTarget(
    String name, String pool, String zone, InetSocketAddress address, String model) {}
