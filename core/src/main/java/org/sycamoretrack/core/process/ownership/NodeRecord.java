package org.sycamoretrack.core.process.ownership;

/**
 * The row of a node in the platform's table of nodes, written by the node itself. Immutable.
 *
 * @param nodeId the id of the node
 * @param incarnation identifies one run of its process
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts peer connections, {@code ip:port}
 * @param heartbeat a counter that increases with each write
 * @param leaving whether it is shutting down and takes over nothing
 */
public record NodeRecord(
    String nodeId,
    String incarnation,
    String zone,
    String peerAddress,
    long heartbeat,
    boolean leaving) {}
