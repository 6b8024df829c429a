package org.sycamoretrack.core.request;

/** The two classes of work that share the endpoints. */
public enum RequestClass {
  /** A caller waits for the answer: order look-ups, bookings, completions for people. */
  INTERACTIVE,
  /** Samples for a trainer's step: long, many, and late only when their step is late. */
  ROLLOUT
}
