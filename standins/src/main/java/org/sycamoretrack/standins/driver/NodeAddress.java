package org.sycamoretrack.standins.driver;

import java.net.InetSocketAddress;

/**
 * The addresses of a node.
 *
 * @param nodeId the id of the node
 * @param zone its zone
 * @param caller the address for callers
 * @param trainer the address for trainers
 * @param operator the address for operators
 */
public record NodeAddress(
    String nodeId,
    String zone,
    InetSocketAddress caller,
    InetSocketAddress trainer,
    InetSocketAddress operator) {}
