package org.sycamoretrack.core.connection;

/** The outlier ejection state of an endpoint, which depends on its latency and failures. */
public enum EjectionState {
  /** The endpoint gets requests. */
  IN_USE,
  /** The endpoint gets no requests. */
  EJECTED,
  /** The next request to the endpoint is a probe. */
  PROBE_DUE,
  /** A probe is pending; the endpoint gets no further requests until it ends. */
  PROBING
}
