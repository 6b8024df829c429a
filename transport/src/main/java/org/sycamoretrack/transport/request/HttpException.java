package org.sycamoretrack.transport.request;

import java.util.Objects;

/** Thrown or reported when a request did not receive a complete response. */
public final class HttpException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The cause of the failure. */
  public enum Kind {
    /** The connection could not be established. */
    CONNECT_FAILED,
    /** The connection closed before the response was complete. */
    CLOSED_EARLY,
    /** The response was not complete within the timeout, or no bytes arrived for too long. */
    TIMED_OUT,
    /** The response is not valid HTTP, or has neither a content length nor chunked encoding. */
    MALFORMED,
    /** The response is larger than the limit, or all responses in progress together are. */
    TOO_LARGE,
    /** The caller cancelled the request. */
    CANCELLED
  }

  private final Kind kind;
  private final boolean maybeSent;

  /**
   * Creates a failure.
   *
   * @param kind the cause of the failure
   * @param maybeSent false only if no byte of the request can have reached the server
   * @param message a description in one line
   */
  public HttpException(Kind kind, boolean maybeSent, String message) {
    super(Objects.requireNonNull(message), null, false, false);
    this.kind = kind;
    this.maybeSent = maybeSent;
  }

  /** Returns the cause of the failure. */
  public Kind kind() {
    return kind;
  }

  /** Returns false only if no byte of the request can have reached the server. */
  public boolean maybeSent() {
    return maybeSent;
  }
}
