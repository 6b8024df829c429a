package org.sycamoretrack.daemon.request;

/**
 * Runs one attempt at a given endpoint, on this node or through the node that owns the endpoint.
 */
public interface EndpointGateway {
  /**
   * Runs an attempt.
   *
   * @param route the endpoint
   * @param request what to generate, including the output of earlier attempts
   * @param listener receives the generated output; it may be called on any event loop
   */
  Generation run(EndpointRoute route, GenerationRequest request, GenerationListener listener);
}
