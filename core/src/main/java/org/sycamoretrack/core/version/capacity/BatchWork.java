package org.sycamoretrack.core.version.capacity;

/**
 * The outstanding work of an open batch.
 *
 * @param tokens the expected number of tokens that its items have yet to generate
 * @param dueInMs the time left until its deadline, in milliseconds; negative after it, {@link
 *     #NO_DEADLINE} without one
 */
public record BatchWork(double tokens, long dueInMs) {
  /** The time left of a batch without a deadline. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;
}
