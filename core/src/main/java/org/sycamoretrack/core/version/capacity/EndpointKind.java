package org.sycamoretrack.core.version.capacity;

/** How an endpoint is paid for. Endpoints of each kind are ordered and counted separately. */
public enum EndpointKind {
  /** Stays until it is released. */
  ON_DEMAND,
  /** Costs less and may be reclaimed at short notice, together with all others of its zone. */
  SPOT
}
