package org.sycamoretrack.core.connection;

/** Whether an endpoint is kept out of use for slowness or failures. */
public enum EjectionState {
  /** The endpoint is used. */
  IN_USE,
  /** The endpoint gets no requests. */
  EJECTED,
  /** The endpoint gets one request as a probe. */
  PROBE_DUE,
  /** A probe is under way; the endpoint gets no further requests until it ends. */
  PROBING
}
