package org.sycamoretrack.transport.request;

/** The body of an answer that is sent in parts. Its methods may be called from any thread. */
public interface HttpStream {
  /**
   * Sends a part of the body.
   *
   * @param part the bytes, which must not be changed afterwards
   */
  void write(byte[] part);

  /** Ends the answer with its end marker. */
  void end();

  /** Closes the connection without an end marker, so that the receiver sees a failure. */
  void abort();

  /** Returns whether the receiver keeps up; when false, the sender should pause. */
  boolean isWritable();

  /**
   * Sets what happens when the receiver has caught up again after {@link #isWritable} was false.
   *
   * @param action runs on the event loop, any number of times
   */
  void onWritable(Runnable action);
}
