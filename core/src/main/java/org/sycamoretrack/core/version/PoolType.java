package org.sycamoretrack.core.version;

/** The type of the endpoints of a pool. */
public enum PoolType {
  /** Model engines, which generate tokens. */
  MODEL,
  /** Endpoints of a plain service. */
  SERVICE
}
