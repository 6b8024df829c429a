package org.sycamoretrack.daemon.request;

import java.net.InetSocketAddress;

/**
 * The address of an endpoint and the model that it serves.
 *
 * @param name the endpoint's name
 * @param pool its pool
 * @param zone its availability zone
 * @param address the address that it listens on
 * @param model the model that it serves; empty for an endpoint of a plain service
 */
public record EndpointTarget(
    String name, String pool, String zone, InetSocketAddress address, String model) {}
