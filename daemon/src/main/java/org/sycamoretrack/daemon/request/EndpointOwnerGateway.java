package org.sycamoretrack.daemon.request;

import java.util.function.Predicate;

/**
 * Runs attempts on the node that owns the endpoint: this one, or a peer that can be reached. When
 * the owner can't be reached, the attempt runs on this node. Two nodes may then keep separate
 * queues for one engine, which affects the order of requests but not the correctness of their
 * results.
 */
public final class EndpointOwnerGateway implements EndpointGateway {
  private final String nodeId;
  private final Predicate<String> isReachable;
  private final PeerAttempts peers;
  private final EndpointDirectory endpoints;

  /**
   * Creates a gateway.
   *
   * @param nodeId this node
   * @param isReachable whether a message to a node could be sent now
   * @param peers submits attempts to other nodes
   * @param endpoints runs attempts on this node
   */
  public EndpointOwnerGateway(
      String nodeId,
      Predicate<String> isReachable,
      PeerAttempts peers,
      EndpointDirectory endpoints) {
    this.nodeId = nodeId;
    this.isReachable = isReachable;
    this.peers = peers;
    this.endpoints = endpoints;
  }

  @Override
  public Generation run(
      EndpointRoute route, GenerationRequest request, GenerationListener listener) {
    String owner = route.ownerNodeId();
    String endpoint = route.target().name();
    if (owner.equals(nodeId) || !isReachable.test(owner)) {
      return endpoints.runLocally(endpoint, request, listener);
    }
    return peers.submit(owner, endpoint, request, listener);
  }
}
