package org.sycamoretrack.daemon.client;

import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;

/**
 * The failure of a completion stream.
 *
 * @param kind what went wrong
 * @param outcome {@code NOT_RUN} when the engine refused or can't have received a byte, {@code RAN}
 *     when tokens had arrived, {@code UNKNOWN} otherwise
 * @param message a one-line description
 */
public record EngineFailure(Kind kind, ExecutionOutcome outcome, String message) {
  /** What went wrong. */
  public enum Kind {
    /** The engine refused the request and did not execute it. */
    REFUSED,
    /** No connection could be made; no byte was sent. */
    CONNECT_FAILED,
    /** The engine reported an error, as an HTTP status or within the stream. */
    ENGINE_ERROR,
    /** The connection closed before the end marker. */
    CLOSED_EARLY,
    /** The response did not end in time or paused for longer than allowed. */
    TIMED_OUT,
    /** The response violates the protocol. */
    MALFORMED,
    /** A line of the stream or the body of an error response exceeds its limit. */
    TOO_LARGE,
    /** This node cancelled the stream. */
    CANCELLED
  }

  /** Returns false only when the engine can't have received a byte of the request. */
  public boolean maybeSent() {
    return kind != Kind.CONNECT_FAILED
        && (kind != Kind.CANCELLED || outcome != ExecutionOutcome.NOT_RUN);
  }

  /** Returns the exception that reports this failure to the caller of the request. */
  public SycamoreException toException() {
    ErrorCode code = kind == Kind.REFUSED ? ErrorCode.OVERLOADED : ErrorCode.ENDPOINT_FAILED;
    return new SycamoreException(code, outcome, message);
  }
}
