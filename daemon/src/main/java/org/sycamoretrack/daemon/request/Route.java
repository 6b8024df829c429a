package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.connection.EndpointView;

/**
 * An endpoint with the node that looks after it.
 *
 * @param target where the endpoint is
 * @param view its load and speed as last known
 * @param ownerNodeId the node that queues requests for it
 */
public record Route(EndpointTarget target, EndpointView view, String ownerNodeId) {}
