package org.sycamoretrack.core.process;

import java.util.Locale;

/** The codes of errors, each with the HTTP status under which callers see it. */
public enum ErrorCode {
  /** A request, setting or resource does not have the required form. */
  INVALID_REQUEST(400),
  /** The caller did not show a valid token. */
  UNAUTHENTICATED(401),
  /** The named resource does not exist. */
  NOT_FOUND(404),
  /** No node that was asked knows the step; open it again. */
  STEP_UNKNOWN(404),
  /** The method is not offered for the path. */
  METHOD_NOT_ALLOWED(405),
  /** The sender did not finish its request in time. */
  REQUEST_TIMEOUT(408),
  /** A conditional change named a version that is no longer current. */
  VERSION_CONFLICT(409),
  /** The idempotency key was used before with another request. */
  KEY_REUSED(409),
  /** The keyed call was claimed before and its outcome is not recorded. */
  CLAIM_UNSETTLED(409),
  /** A header, body or frame is larger than its limit. */
  TOO_LARGE(413),
  /** The request crashed endpoints and is quarantined. */
  QUARANTINED(422),
  /** Queues are full; send the request again later. */
  OVERLOADED(429),
  /** An unexpected failure inside a node. */
  INTERNAL(500),
  /** The endpoint failed or closed before the end of its answer. */
  ENDPOINT_FAILED(502),
  /** No endpoint is available to the request. */
  NO_ENDPOINT(503),
  /** The node is stopping. */
  STOPPING(503),
  /** The platform can't be reached and the operation needs it. */
  PLATFORM_UNAVAILABLE(503),
  /** The node does not hold, or no longer holds, the lease that the operation needs. */
  LEASE_LOST(503),
  /** A peer can't be reached. */
  PEER_UNAVAILABLE(503),
  /** The deadline of the request has passed. */
  DEADLINE_EXCEEDED(504);

  private final int httpStatus;
  private final String wireName;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
    this.wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status code of answers that carry this error. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the name used in error answers, for example {@code no-endpoint}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the code with a given wire name.
   *
   * @param wireName a name as returned by {@link #wireName()}
   * @return the code; {@link #INTERNAL} for a name that is not known
   */
  public static ErrorCode ofWireName(String wireName) {
    for (ErrorCode code : values()) {
      if (code.wireName.equals(wireName)) {
        return code;
      }
    }
    return INTERNAL;
  }
}
