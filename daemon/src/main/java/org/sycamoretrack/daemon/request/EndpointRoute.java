package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.connection.EndpointView;

/**
 * An entry of the {@link RoutingTable}: an endpoint, its state, and the node that owns it.
 *
 * @param target the identity and address of the endpoint
 * @param view the last known load and speed of the endpoint
 * @param ownerNodeId the node that queues the requests for the endpoint
 */
public record EndpointRoute(EndpointTarget target, EndpointView view, String ownerNodeId) {}
