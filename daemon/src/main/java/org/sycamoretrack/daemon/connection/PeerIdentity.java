package org.sycamoretrack.daemon.connection;

/**
 * What a node says of itself when it opens a connection.
 *
 * @param nodeId the name of the node, unique in the deployment
 * @param zone its availability zone
 * @param region its region
 * @param epoch the epoch of its lease, 0 while it has none
 * @param address where it accepts connections of peers, {@code ip:port}
 */
public record PeerIdentity(String nodeId, String zone, String region, long epoch, String address) {}
