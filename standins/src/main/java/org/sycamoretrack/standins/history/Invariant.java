package org.sycamoretrack.standins.history;

/** What must hold in every history, however many faults it contains. */
public enum Invariant {
  /** Every sample names the weight versions that produced it. */
  TRUE_VERSIONS,
  /** No sample was produced by weights older than the track's bound. */
  BOUNDED_STALENESS,
  /** Every sample reaches its trainer exactly once. */
  EXACTLY_ONCE,
  /** A clean answer is the whole answer to the request it was given for. */
  WHOLE_ANSWER,
  /** A request that was refused as not run did not run. */
  TRUE_REFUSAL,
  /** A call that is not idempotent runs at most once. */
  AT_MOST_ONCE,
  /** A leaving endpoint receives no new work after the grace period. */
  NO_WORK_WHEN_LEAVING,
  /** A planned stop cuts off no request in flight. */
  GRACEFUL_STOP,
  /** An accepted configuration is in force everywhere within the bound and never reverts. */
  DURABLE_CONFIGURATION
}
