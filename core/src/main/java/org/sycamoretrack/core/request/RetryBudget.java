package org.sycamoretrack.core.request;

/**
 * Limits retries to a share of the traffic, so that a failure does not multiply the load (a retry
 * storm).
 *
 * <p>The budget is a token bucket. Each first attempt adds {@code retryRatio} of a retry, up to a
 * burst; each retry takes one. When less than one retry is left, a failed request is not retried
 * and its error is returned to the caller.
 *
 * <p>Example: with ratio 0.1 and burst 10, an empty budget allows the next retry after 10 requests;
 * a full one allows 10 retries at once.
 *
 * <p>Invariant: over any period, the number of retries is at most {@code burst + retryRatio *
 * requests}.
 */
public final class RetryBudget {
  /** The default number of retries per request. */
  public static final double DEFAULT_RETRY_RATIO = 0.1;

  private static final double DEFAULT_BURST_RETRIES = 10;

  private final double retryRatio;
  private final double burstRetries;
  private double availableRetries;

  /** Creates a full budget with the default ratio and a burst of 10 retries. */
  public RetryBudget() {
    this(DEFAULT_RETRY_RATIO, DEFAULT_BURST_RETRIES);
  }

  /**
   * Creates a full budget.
   *
   * @param retryRatio the share of a retry that each request adds, from 0 to 1
   * @param burstRetries the largest number of retries that the budget can hold
   */
  public RetryBudget(double retryRatio, double burstRetries) {
    this.retryRatio = retryRatio;
    this.burstRetries = burstRetries;
    this.availableRetries = burstRetries;
  }

  /** Records the first attempt of a request. */
  public void onRequest() {
    availableRetries = Math.min(burstRetries, availableRetries + retryRatio);
  }

  /** Takes one retry from the budget and returns whether one was available. */
  public boolean tryRetry() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }

  /** Returns the number of retries left, including the fraction of the next one. */
  public double availableRetries() {
    return availableRetries;
  }
}
