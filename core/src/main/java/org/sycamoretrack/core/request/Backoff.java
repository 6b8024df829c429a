package org.sycamoretrack.core.request;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay before retry n is drawn uniformly from 0 to
 * {@code min(maxMs, baseMs * 2^n)}, both inclusive.
 *
 * <p>Example: base 50, max 1,000. Delays are at most 50, 100, 200, 400, 800, 1,000, 1,000 ms.
 */
public final class Backoff {
  /** Keeps {@code baseMs << retry} from overflowing. */
  private static final int MAX_SHIFT = 30;

  private final long baseMs;
  private final long maxMs;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseMs the upper bound of the first delay, at least 1
   * @param maxMs the upper bound of every delay
   * @param random the source of the jitter
   */
  public Backoff(long baseMs, long maxMs, RandomGenerator random) {
    this.baseMs = baseMs;
    this.maxMs = maxMs;
    this.random = random;
  }

  /**
   * Returns a random delay before a retry.
   *
   * @param retry the index of the retry, from 0
   * @return the delay in milliseconds
   */
  public long delayMs(int retry) {
    long bound = Math.min(maxMs, baseMs << Math.min(retry, MAX_SHIFT));
    return random.nextLong(bound + 1);
  }
}
