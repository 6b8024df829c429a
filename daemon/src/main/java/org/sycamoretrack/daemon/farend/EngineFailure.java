package org.sycamoretrack.daemon.farend;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.Outcome;

/**
 * A completion stream that did not end whole.
 *
 * @param kind what went wrong
 * @param outcome {@code NOT_RUN} when the engine refused or can't have got a byte, {@code RAN} when
 *     tokens had arrived, {@code UNKNOWN} otherwise
 * @param message one line for people
 */
public record EngineFailure(Kind kind, Outcome outcome, String message) {
  /** What went wrong. */
  public enum Kind {
    /** The engine refused the request as not run. */
    REFUSED,
    /** No connection could be made; no byte was sent. */
    CONNECT_FAILED,
    /** The engine answered with an error, before or in the stream. */
    ENGINE_ERROR,
    /** The connection closed before the end marker. */
    CLOSED_EARLY,
    /** The answer did not end, or paused for longer than allowed. */
    TIMED_OUT,
    /** The answer breaks the protocol. */
    MALFORMED,
    /** A line or an error answer is larger than its limit. */
    TOO_LARGE,
    /** This side cancelled the stream. */
    CANCELLED
  }

  /** Returns false only when no byte of the request can have reached the engine. */
  public boolean maybeSent() {
    return kind != Kind.CONNECT_FAILED && (kind != Kind.CANCELLED || outcome != Outcome.NOT_RUN);
  }

  /** Returns the failure as an error for a caller. */
  public SycamoreException toException() {
    ErrorCode code = kind == Kind.REFUSED ? ErrorCode.OVERLOADED : ErrorCode.ENDPOINT_FAILED;
    return new SycamoreException(code, outcome, message);
  }
}
