package org.sycamoretrack.standins.driver;

import java.net.InetSocketAddress;

/**
 * Where a node is reached.
 *
 * @param nodeId the node
 * @param zone its zone
 * @param caller the caller port
 * @param trainer the trainer port
 * @param operator the operator port
 */
public record NodeAddress(
    String nodeId,
    String zone,
    InetSocketAddress caller,
    InetSocketAddress trainer,
    InetSocketAddress operator) {}
