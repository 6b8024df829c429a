package org.sycamoretrack.transport.request;

/** The body of a response that is sent in parts. Its methods may be called from any thread. */
public interface HttpResponseStream {
  /**
   * Sends a part of the body.
   *
   * @param part the bytes, which must not be modified afterwards
   */
  void write(byte[] part);

  /** Completes the response by sending its last chunk. */
  void end();

  /** Closes the connection without the last chunk, so that the client detects a failure. */
  void abort();

  /** Returns whether the send buffer has room. If false, the caller should pause writing. */
  boolean isWritable();

  /**
   * Sets an action to run when {@link #isWritable} becomes true again.
   *
   * @param action the action, which runs on the event loop, any number of times
   */
  void onWritable(Runnable action);
}
