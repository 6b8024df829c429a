package org.sycamoretrack.daemon.request;

/** A running request. Its methods may be called from any thread. */
@FunctionalInterface
public interface Generation {
  /** Cancels the request. Its listener is not called any more. */
  void cancel();

  /** Returns the current endpoint, or an empty string when there is none or it is not known. */
  default String endpoint() {
    return "";
  }

  /**
   * Continues the request at another endpoint, after the tokens generated so far. Does nothing when
   * the request has ended or the endpoint is not in service.
   *
   * @param newEndpoint the endpoint's name
   */
  default void moveTo(String newEndpoint) {}
}
