package org.sycamoretrack.daemon.request;

/** A request under way. Its methods may be called from any thread. */
@FunctionalInterface
public interface Generation {
  /** Gives the request up: its listener is told nothing more. */
  void cancel();

  /** Returns the endpoint that generates now, empty when there is none or it is not known. */
  default String endpoint() {
    return "";
  }

  /**
   * Continues the request at another endpoint, from the tokens made so far. Nothing happens when it
   * has ended or the endpoint is not in service.
   *
   * @param newEndpoint the endpoint's name
   */
  default void moveTo(String newEndpoint) {}
}
