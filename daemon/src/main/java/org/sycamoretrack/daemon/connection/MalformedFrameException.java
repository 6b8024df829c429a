package org.sycamoretrack.daemon.connection;

/** Thrown for a frame that is not a valid message; its connection is closed. */
public final class MalformedFrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message a one-line description
   */
  public MalformedFrameException(String message) {
    super(message, null, false, false);
  }
}
