package org.sycamoretrack.standins.process;

import java.util.Locale;

/** Kinds of faults that a stand-in can inject. */
public enum FaultKind {
  /** The request is handled after a delay of {@code delayMs}. */
  SLOW,
  /** The response is a 503 error with outcome {@code not-run}; the request has no effect. */
  REFUSED,
  /** The connection is closed before the request has any effect. */
  OUTAGE,
  /** The request takes effect, but the connection is closed without a response. */
  LOST_ANSWER,
  /** A {@code GET} request receives the oldest recorded response for the same target. */
  STALE,
  /**
   * The request takes effect immediately, but its response is delayed by {@code delayMs}, so that
   * later responses overtake it. A stream stalls after some chunks instead, because the order of
   * its chunks is fixed.
   */
  REORDERED,
  /** The connection is closed in the middle of the response, in a stream after some chunks. */
  CUT_OFF,
  /**
   * A stream ends as a valid HTTP response, but without its last chunks and {@code [DONE]}; any
   * other response has a malformed body.
   */
  TRUNCATED,
  /** The body of the response does not match its content type. */
  MALFORMED,
  /** The response has {@code sizeBytes} excess bytes. */
  OVERSIZED,
  /** The request takes effect, but no more bytes are sent and the connection stays open. */
  STALLED,
  /** An engine crashes when it processes a prompt that contains the text {@code prompt}. */
  POISON,
  /** An engine's time per token is multiplied by {@code factor}. */
  SLOWED_ENGINE,
  /** A load of weights fails; the old version stays in use. */
  LOAD_FAILS,
  /** A load of weights never completes: it is reported as loading until the next load command. */
  LOAD_PARTIAL,
  /** A load of weights is reported as completed, but the old version still generates. */
  LOAD_MISREPORTED;

  private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

  /** Returns the name used in JSON, for example {@code lost-answer}. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether the fault affects HTTP requests of any stand-in. */
  boolean isHttp() {
    return compareTo(STALLED) <= 0;
  }

  /**
   * Returns the kind with the given wire name.
   *
   * @param wireName the name used in JSON
   * @throws IllegalArgumentException if there is no such kind
   */
  public static FaultKind ofWireName(String wireName) {
    return valueOf(wireName.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
