package org.sycamoretrack.transport.request;

import java.util.Objects;

/** A request that got no whole answer. */
public final class HttpFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Kind {
    /** No connection could be made. */
    CONNECT_FAILED,
    /** The connection closed before the answer had ended. */
    CLOSED_EARLY,
    /** The answer did not end, or paused for longer than allowed. */
    TIMED_OUT,
    /** The answer is not HTTP, or has no end marker. */
    MALFORMED,
    /** The answer is larger than the limit. */
    TOO_LARGE,
    /** The sender cancelled the request. */
    CANCELLED
  }

  private final Kind kind;
  private final boolean maybeSent;

  /**
   * Creates a failure.
   *
   * @param kind what went wrong
   * @param maybeSent false only when no byte of the request can have reached the far end
   * @param message one line for people
   */
  public HttpFailure(Kind kind, boolean maybeSent, String message) {
    super(Objects.requireNonNull(message), null, false, false);
    this.kind = kind;
    this.maybeSent = maybeSent;
  }

  /** Returns what went wrong. */
  public Kind kind() {
    return kind;
  }

  /** Returns false only when no byte of the request can have reached the far end. */
  public boolean maybeSent() {
    return maybeSent;
  }
}
