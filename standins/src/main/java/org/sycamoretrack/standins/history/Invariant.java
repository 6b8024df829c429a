package org.sycamoretrack.standins.history;

/** Properties that hold for every complete history, regardless of the faults that occurred. */
public enum Invariant {
  /** Every sample names the weight versions that produced it. */
  TRUE_VERSIONS,
  /** No sample was produced by weights older than the track's version lag allows. */
  BOUNDED_STALENESS,
  /** Every sample is delivered to its trainer exactly once. */
  EXACTLY_ONCE,
  /** A response without an error is the complete response to its request. */
  WHOLE_ANSWER,
  /** A request that was rejected as not run was not executed. */
  TRUE_REFUSAL,
  /** A call that is not repeatable, or has an idempotency key, is executed at most once. */
  AT_MOST_ONCE,
  /** An endpoint that is leaving receives no new requests after the grace period. */
  NO_WORK_WHEN_LEAVING,
  /** A planned stop of a node interrupts no request in flight. */
  GRACEFUL_STOP,
  /**
   * An accepted configuration is applied by every node before the deadline and is never reverted.
   */
  DURABLE_CONFIGURATION
}
