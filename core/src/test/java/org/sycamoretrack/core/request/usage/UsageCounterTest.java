package org.sycamoretrack.core.request.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks which requests are counted, and in which window. */
class UsageCounterTest {
  private final UsageCounter counter = new UsageCounter(new UsageWindows(5_000));

  private RequestUsage request() {
    return RequestUsage.of(counter, "c");
  }

  @Test
  void hedgedRequestCountsOnceAtItsFirstAttempt() {
    RequestUsage request = request();
    request.onSent("a", 4_990);
    request.onSent("b", 5_080);

    assertThat(counter.takeChanges(0)).isEqualTo(Map.of(0L, Map.of("c", 1L)));
  }

  @Test
  void refusedRequestCountsWhereTheNextEndpointGotIt() {
    RequestUsage request = request();
    request.onSent("a", 4_990);
    request.onRefused("a");
    request.onSent("b", 5_010);

    assertThat(counter.takeChanges(0)).isEqualTo(Map.of(0L, Map.of(), 1L, Map.of("c", 1L)));
  }

  /** Guards against a count that keeps the time of an endpoint that refused after a hedge. */
  @Test
  void refusalAfterAHedgeMovesTheRequestToTheHedge() {
    RequestUsage request = request();
    request.onSent("a", 4_990);
    request.onSent("b", 5_080);
    request.onRefused("a");

    assertThat(counter.takeChanges(0)).isEqualTo(Map.of(0L, Map.of(), 1L, Map.of("c", 1L)));
  }

  @Test
  void requestThatAllEndpointsRefusedIsNotCounted() {
    RequestUsage request = request();
    request.onSent("a", 100);
    request.onSent("b", 200);
    request.onRefused("b");
    request.onRefused("a");

    assertThat(counter.takeChanges(0)).isEqualTo(Map.of(0L, Map.of()));
  }

  @Test
  void requestWithoutACustomerIsNotCounted() {
    RequestUsage.of(counter, "").onSent("a", 100);

    assertThat(counter.takeChanges(0)).isEmpty();
  }

  @Test
  void reportsOnlyWindowsThatChanged() {
    request().onSent("a", 100);
    request().onSent("a", 6_000);
    counter.takeChanges(0);
    request().onSent("a", 6_500);

    assertThat(counter.takeChanges(0)).isEqualTo(Map.of(1L, Map.of("c", 2L)));
    assertThat(counter.takeChanges(0)).isEmpty();
  }

  /** Guards against a refusal that arrives long after the window was forgotten. */
  @Test
  void changeOfAForgottenWindowIsIgnored() {
    RequestUsage request = request();
    request.onSent("a", 100);
    counter.takeChanges(1);
    request.onRefused("a");

    assertThat(counter.takeChanges(1)).isEmpty();
  }
}
