package org.sycamoretrack.daemon.request;

/** Runs one attempt at a chosen endpoint, on this node or through the node that looks after it. */
public interface EndpointGateway {
  /**
   * Runs an attempt.
   *
   * @param route the endpoint
   * @param request what to generate, with what earlier attempts have made
   * @param listener receives the answer, on any event loop
   */
  Generation run(Route route, GenerationRequest request, GenerationListener listener);
}
