package org.sycamoretrack.core.request;

/**
 * Bounds retries to a share of the traffic, so that a failure doesn't multiply the load.
 *
 * <p>Each first attempt earns {@code share} of a retry, up to a burst; each retry costs one. When
 * nothing is left, a request that could be retried is answered with its failure.
 *
 * <p>Example: with share 0.1 and burst 10, a budget that is empty allows the next retry after 10
 * requests; after a long quiet time it allows at most 10 retries at once.
 *
 * <p>Invariant: over any time, retries are at most {@code burst + share * requests}.
 */
public final class RetryBudget {
  /** The share of traffic that retries may add unless set otherwise. */
  public static final double DEFAULT_RETRY_RATIO = 0.1;

  private static final double DEFAULT_BURST_RETRIES = 10;

  private final double retryRatio;
  private final double burstRetries;
  private double availableRetries;

  /** Creates a full budget with the default share and a burst of 10 retries. */
  public RetryBudget() {
    this(DEFAULT_RETRY_RATIO, DEFAULT_BURST_RETRIES);
  }

  /**
   * Creates a full budget.
   *
   * @param share retries that each request earns, from 0 to 1
   * @param burstRetries the most that can be saved up
   */
  public RetryBudget(double share, double burstRetries) {
    this.retryRatio = share;
    this.burstRetries = burstRetries;
    this.availableRetries = burstRetries;
  }

  /** Notes the first attempt of a request. */
  public void onRequest() {
    availableRetries = Math.min(burstRetries, availableRetries + retryRatio);
  }

  /** Takes one retry out of the budget and returns whether there was one. */
  public boolean tryRetry() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }

  /** Returns how many retries are left, with the fraction earned towards the next one. */
  public double availableRetries() {
    return availableRetries;
  }
}
