package org.sycamoretrack.transport.request;

/** A request under way. Its methods may be called from any thread. */
public interface HttpCall {
  /** Gives the call up: closes its connection and reports {@link HttpFailure.Kind#CANCELLED}. */
  void cancel();

  /**
   * Stops or goes on reading the answer, so that a slow receiver slows the sender.
   *
   * @param reading false to stop
   */
  void setAutoRead(boolean reading);
}
