package org.sycamoretrack.core.request;

import java.util.Arrays;

/**
 * The durations of the latest requests to one service, {@value #CAPACITY} at most.
 *
 * <p>A request that ended without a response counts with the time that it took until then, so that
 * a service which stops responding doesn't look fast.
 *
 * <p>Not thread-safe.
 */
public final class ServiceTimes {
  private static final int CAPACITY = 64;

  private final long[] durationsMs = new long[CAPACITY];
  private int count;

  /** Adds the duration of a request, in milliseconds. */
  public void add(long durationMs) {
    durationsMs[count % CAPACITY] = durationMs;
    count = count + 1 < 2 * CAPACITY ? count + 1 : CAPACITY;
  }

  /** Returns whether no duration has been added. */
  public boolean isEmpty() {
    return count == 0;
  }

  /**
   * Returns the time within which a share of the latest requests ended.
   *
   * @param share the share, from 0 to 1; 1 for the longest duration
   * @return the time in milliseconds, 0 if no duration has been added
   */
  public long quantileMs(double share) {
    int size = Math.min(count, CAPACITY);
    if (size == 0) {
      return 0;
    }
    long[] sorted = Arrays.copyOf(durationsMs, size);
    Arrays.sort(sorted);
    return sorted[Math.max(0, (int) Math.ceil(share * size) - 1)];
  }
}
