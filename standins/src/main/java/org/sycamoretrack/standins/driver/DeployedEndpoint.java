package org.sycamoretrack.standins.driver;

import java.net.InetSocketAddress;

/**
 * An endpoint of a running deployment.
 *
 * @param name its name
 * @param pool its pool
 * @param zone its zone
 * @param address the address that it listens on
 */
public record DeployedEndpoint(
    String name, Deployment.Pool pool, String zone, InetSocketAddress address) {}
