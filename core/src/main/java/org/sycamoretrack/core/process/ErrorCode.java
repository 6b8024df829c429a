package org.sycamoretrack.core.process;

import java.util.Locale;

/** The error codes, each with the HTTP status of its responses. */
public enum ErrorCode {
  /** A request, setting or resource does not have the required form. */
  INVALID_REQUEST(400),
  /** The caller did not present a valid token. */
  UNAUTHENTICATED(401),
  /** The request needs the API key of a customer and has none that is valid. */
  CUSTOMER_UNKNOWN(401),
  /** The named resource does not exist. */
  NOT_FOUND(404),
  /** None of the nodes asked knows the step; the caller has to open it again. */
  STEP_UNKNOWN(404),
  /** The path does not support the HTTP method. */
  METHOD_NOT_ALLOWED(405),
  /** The client did not send the complete request in time. */
  REQUEST_TIMEOUT(408),
  /** A conditional change expected a version that is no longer current. */
  VERSION_CONFLICT(409),
  /** The idempotency key was already used with a different request. */
  KEY_REUSED(409),
  /** The call with this key was claimed before, and its outcome is not recorded. */
  CLAIM_UNSETTLED(409),
  /** A header, body or frame is larger than its limit. */
  TOO_LARGE(413),
  /** The request is quarantined because it crashed endpoints. */
  QUARANTINED(422),
  /** The queues are full; the caller may retry later. */
  OVERLOADED(429),
  /** An unexpected failure inside a node. */
  INTERNAL(500),
  /** The endpoint failed or closed the connection before the end of its response. */
  ENDPOINT_FAILED(502),
  /** No endpoint is available for the request. */
  NO_ENDPOINT(503),
  /** The node is shutting down. */
  STOPPING(503),
  /** The operation needs the platform, which is unreachable. */
  PLATFORM_UNAVAILABLE(503),
  /** The node does not hold, or no longer holds, the lease that the operation needs. */
  LEASE_LOST(503),
  /** A peer is unreachable. */
  PEER_UNAVAILABLE(503),
  /** The deadline of the request has passed. */
  DEADLINE_EXCEEDED(504);

  private final int httpStatus;
  private final String wireName;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
    this.wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status code of responses with this error. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the name used in error responses, for example {@code no-endpoint}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the code with a given wire name.
   *
   * @param wireName a name as returned by {@link #wireName()}
   * @return the code; {@link #INTERNAL} for an unknown name
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
