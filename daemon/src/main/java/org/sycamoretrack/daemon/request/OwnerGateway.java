package org.sycamoretrack.daemon.request;

import java.util.function.Predicate;

/**
 * Runs attempts at the node that looks after the endpoint: this one, or a peer when it can be
 * reached. When it can't, the attempt runs from here: two nodes that queue for one engine cost some
 * order between requests, never their truth.
 */
public final class OwnerGateway implements EndpointGateway {
  private final String nodeId;
  private final Predicate<String> isReachable;
  private final PeerWork peers;
  private final EndpointDirectory endpoints;

  /**
   * Creates a gateway.
   *
   * @param nodeId this node
   * @param reachable whether a message to a node would be sent now
   * @param peers hands attempts to other nodes
   * @param endpoints runs attempts here
   */
  public OwnerGateway(
      String nodeId, Predicate<String> reachable, PeerWork peers, EndpointDirectory endpoints) {
    this.nodeId = nodeId;
    this.isReachable = reachable;
    this.peers = peers;
    this.endpoints = endpoints;
  }

  @Override
  public Generation run(Route route, GenerationRequest request, GenerationListener listener) {
    String owner = route.ownerNodeId();
    String endpoint = route.target().name();
    if (owner.equals(nodeId) || !isReachable.test(owner)) {
      return endpoints.runHere(endpoint, request, listener);
    }
    return peers.submit(owner, endpoint, request, listener);
  }
}
