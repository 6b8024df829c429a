package org.sycamoretrack.daemon.connection;

/**
 * The identity that a node sends in the handshake of a connection.
 *
 * @param nodeId the id of the node, unique in the deployment
 * @param zone its availability zone
 * @param region its region
 * @param epoch the epoch of its lease, 0 while it has none
 * @param address the address at which it accepts connections of peers, {@code ip:port}
 */
public record PeerIdentity(String nodeId, String zone, String region, long epoch, String address) {}
