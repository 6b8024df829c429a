package org.sycamoretrack.core.process.ownership;

/**
 * What a node says of itself in the table of nodes. Immutable.
 *
 * @param nodeId the name of the node
 * @param incarnation names one run of its process
 * @param zone its availability zone
 * @param peerAddress where it accepts connections of peers, {@code ip:port}
 * @param heartbeat counts its writes
 * @param leaving whether it stops and takes over nothing
 */
public record NodeRecord(
    String nodeId,
    String incarnation,
    String zone,
    String peerAddress,
    long heartbeat,
    boolean leaving) {}
