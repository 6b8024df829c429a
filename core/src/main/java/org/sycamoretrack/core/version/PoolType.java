package org.sycamoretrack.core.version;

/** What the endpoints of a pool are. */
public enum PoolType {
  /** Model engines, which generate tokens. */
  MODEL,
  /** Endpoints of a plain service. */
  SERVICE
}
