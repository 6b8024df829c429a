package org.sycamoretrack.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests of {@link RetryBudget} and {@link Backoff}. */
class RetryBudgetTest {
  @Property(tries = 200)
  void retriesStayWithinRatioAndBurst(@ForAll List<Boolean> events) {
    RetryBudget budget = new RetryBudget(0.1, 3);
    int requests = 0;
    int retries = 0;
    for (boolean request : events) {
      if (request) {
        budget.onRequest();
        requests++;
      } else if (budget.tryRetry()) {
        retries++;
      }
      assertThat(retries).isLessThanOrEqualTo((int) Math.floor(3 + 0.1 * requests + 1e-9));
    }
  }

  @Test
  void fullyFailingTrafficAddsATenthInRetries() {
    RetryBudget budget = new RetryBudget();
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isBetween(990, 1_010);
  }

  @Test
  void backoffDelaysGrowWithJitterUpToTheMaximum() {
    Backoff backoff = new Backoff(50, 1_000, new SplittableRandom(7));
    for (int retry = 0; retry < 70; retry++) {
      long boundMs = Math.min(1_000, 50L << Math.min(retry, 10));
      long sumMs = 0;
      for (int i = 0; i < 400; i++) {
        long delayMs = backoff.delayMs(retry);
        assertThat(delayMs).isBetween(0L, boundMs);
        sumMs += delayMs;
      }
      assertThat(sumMs / 400.0).isBetween(boundMs * 0.4, boundMs * 0.6);
    }
  }
}
