package org.sycamoretrack.core.version.capacity;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Computes how many endpoints the open batches need to complete by their deadlines.
 *
 * <p>Batches are assumed to be processed in the order of their deadlines. Each deadline is met if
 * all tokens that are due by then fit into the rate of the endpoints until then. Only the volume is
 * considered: an item that takes longer than the time left isn't helped by more endpoints.
 *
 * <p>Example: 4 endpoints process 100 tokens a second each, and 3,000 tokens are due in 5 s. The
 * endpoints process 2,000 tokens until then, or {@value #PACKING} times as many, since slots are
 * idle at the end of a batch. With a boot time of 4 s a new endpoint contributes for 1 s.
 */
final class CapacityNeed {
  /**
   * The part of the nominal rate that open batches use: lengths are heavy-tailed, and slots are
   * idle while the longest items of a batch end. An assumption, to be replaced by a measurement.
   */
  private static final double PACKING = 0.8;

  /**
   * The minimum time for which a new endpoint is assumed to contribute. A batch that ends before
   * new endpoints serve isn't helped by them, but the batches that follow it are: trainers submit
   * the next batch within some seconds.
   */
  private static final long MIN_CONTRIBUTION_MS = 2_000;

  /** An endpoint whose boot takes longer than stated is expected to serve after this time. */
  private static final long SLOW_BOOT_MS = 500;

  private static final double MS_PER_SECOND = 1_000.0;

  private CapacityNeed() {}

  /**
   * Returns how many endpoints have to be ordered in addition.
   *
   * @param input the state of the service
   * @param record the live and booting endpoints
   * @param nowMs the current time
   * @return the number, 0 if all deadlines can be met or the rate is unknown
   */
  static int additional(CapacityInput input, CapacityRecord record, long nowMs) {
    double tokensPerMs = tokensPerMs(input);
    long bootMs = input.terms().bootMs();
    double dueTokens = 0;
    double additional = 0;
    for (BatchWork batch : byDeadline(input)) {
      dueTokens += batch.tokens();
      if (batch.dueInMs() > 0 && tokensPerMs > 0) {
        double processed =
            tokensPerMs * endpointMs(record.pools().values(), batch.dueInMs(), bootMs, nowMs);
        long contributionMs = Math.max(MIN_CONTRIBUTION_MS, batch.dueInMs() - bootMs);
        additional = Math.max(additional, (dueTokens - processed) / (tokensPerMs * contributionMs));
      }
    }
    return (int) Math.ceil(additional);
  }

  /** Returns for how many endpoint-milliseconds the endpoints serve until a deadline. */
  private static double endpointMs(
      Collection<PoolRecord> pools, long dueInMs, long bootMs, long nowMs) {
    double sum = 0;
    for (PoolRecord pool : pools) {
      long readyInMs = Math.max(SLOW_BOOT_MS, pool.orderedAtMs() + bootMs - nowMs);
      sum += Math.min(pool.live(), pool.target()) * (double) dueInMs;
      sum += pool.booting() * (double) Math.max(0, dueInMs - readyInMs);
    }
    return sum;
  }

  /**
   * Returns the smallest number of live endpoints that meets all deadlines.
   *
   * @param input the state of the service
   * @return the number, 0 without deadlines or if the rate is unknown
   */
  static int minimum(CapacityInput input) {
    double tokensPerMs = tokensPerMs(input);
    double dueTokens = 0;
    double needed = 0;
    for (BatchWork batch : byDeadline(input)) {
      dueTokens += batch.tokens();
      if (batch.dueInMs() > 0 && tokensPerMs > 0) {
        long timeMs = Math.max(MIN_CONTRIBUTION_MS, batch.dueInMs());
        needed = Math.max(needed, dueTokens / (tokensPerMs * timeMs));
      }
    }
    return (int) Math.ceil(needed);
  }

  private static double tokensPerMs(CapacityInput input) {
    return input.tokensPerSecond() * PACKING / MS_PER_SECOND;
  }

  private static List<BatchWork> byDeadline(CapacityInput input) {
    return input.work().stream()
        .filter(batch -> batch.dueInMs() != BatchWork.NO_DEADLINE)
        .sorted(Comparator.comparingLong(BatchWork::dueInMs))
        .toList();
  }
}
