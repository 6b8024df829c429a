package org.sycamoretrack.daemon.connection;

/** A frame that is not a message: the connection that it came on is closed. */
public final class MalformedFrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message one line for people
   */
  public MalformedFrameException(String message) {
    super(message, null, false, false);
  }
}
