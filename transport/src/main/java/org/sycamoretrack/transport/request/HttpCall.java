package org.sycamoretrack.transport.request;

/** A call in progress. Its methods may be called from any thread. */
public interface HttpCall {
  /** Closes the connection of the call and reports {@link HttpException.Kind#CANCELLED}. */
  void cancel();

  /**
   * Pauses or resumes reading the response, so that a slow consumer applies backpressure to the
   * server.
   *
   * @param autoRead false to pause, true to resume
   */
  void setAutoRead(boolean autoRead);
}
