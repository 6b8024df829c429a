package org.sycamoretrack.core.request;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the wait before retry n is drawn evenly from 0 to {@code
 * baseMs * 2^n}, at most {@code maxMs}.
 *
 * <p>Example: base 50, max 1,000. Waits are below 50, 100, 200, 400, 800, 1,000, 1,000 ms.
 */
public final class Backoff {
  private static final int MAX_SHIFT = 30;

  private final long baseMs;
  private final long maxMs;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseMs the bound of the first wait, at least 1
   * @param maxMs the bound of all waits
   * @param random the source of jitter
   */
  public Backoff(long baseMs, long maxMs, RandomGenerator random) {
    this.baseMs = baseMs;
    this.maxMs = maxMs;
    this.random = random;
  }

  /**
   * Returns a wait.
   *
   * @param retry the number of the retry, from 0
   * @return the wait in milliseconds
   */
  public long waitMs(int retry) {
    long bound = Math.min(maxMs, baseMs << Math.min(retry, MAX_SHIFT));
    return random.nextLong(bound + 1);
  }
}
