package org.sycamoretrack.core.request;

/** The two priority classes of requests that share the endpoints. */
public enum RequestClass {
  /** Latency-sensitive requests: order look-ups, bookings, completions for people. */
  INTERACTIVE,
  /**
   * Samples for a training step: long and numerous. Only the completion time of the whole step
   * matters.
   */
  ROLLOUT
}
