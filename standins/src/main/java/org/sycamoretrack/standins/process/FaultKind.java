package org.sycamoretrack.standins.process;

import java.util.Locale;

/** What a stand-in can be told to do wrong. */
public enum FaultKind {
  /** The request is handled {@code delayMs} late. */
  SLOW,
  /** The request is answered 503 {@code not-run} and has no effect. */
  REFUSED,
  /** The connection closes before the request has any effect. */
  OUTAGE,
  /** The request takes effect and the connection closes without an answer. */
  LOST_ANSWER,
  /** A read is answered with the oldest answer known for the same target. */
  STALE,
  /**
   * The request takes effect at once and its answer comes {@code delayMs} late, behind others. A
   * stream stops after some chunks instead, since its chunks can't overtake each other.
   */
  REORDERED,
  /** The answer breaks off without its HTTP end marker, in a stream after some chunks. */
  CUT_OFF,
  /** The answer ends as HTTP but a stream lacks its last chunks and {@code [DONE]}. */
  TRUNCATED,
  /** The body of the answer is not what its content type says. */
  MALFORMED,
  /** The answer is {@code sizeBytes} longer than it should be. */
  OVERSIZED,
  /** The request takes effect, then no more bytes come, and the connection stays open. */
  STALLED,
  /** An engine crashes when it runs a prompt that contains the text {@code prompt}. */
  POISON,
  /** An engine's time per token is multiplied by {@code factor}. */
  SLOWED_ENGINE,
  /** A load of weights ends without effect. */
  LOAD_FAILS,
  /** A load of weights stops in the middle: it stays reported as loading until the next order. */
  LOAD_PARTIAL,
  /** A load of weights is reported as served while the chunks still come from the old version. */
  LOAD_MISREPORTED;

  private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

  /** Returns the name used in JSON, for example {@code lost-answer}. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether the fault changes how any HTTP request is answered. */
  boolean isHttp() {
    return compareTo(STALLED) <= 0;
  }

  /**
   * Returns the kind with a wire name.
   *
   * @param wireName the name
   * @throws IllegalArgumentException when there is no such kind
   */
  public static FaultKind ofWireName(String wireName) {
    return valueOf(wireName.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
