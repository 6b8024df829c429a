package org.sycamoretrack.daemon.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sycamoretrack.daemon.system.SystemRun.SERVICE;
import static org.sycamoretrack.daemon.system.SystemRun.fault;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sycamoretrack.standins.driver.NodeAddress;
import org.sycamoretrack.standins.process.FaultKind;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Sends bookings with an idempotency key through several nodes, with node crashes and platform
 * faults in between.
 */
class KeyedCallTest {
  private static final String SLOW_BOOKING = "/services/" + SERVICE + "/bookings?workMs=500";

  private static String code(HttpResponse response) {
    return response.json().path("error").path("code").asText();
  }

  private static String outcome(HttpResponse response) {
    return response.json().path("error").path("outcome").asText();
  }

  @Test
  void bookingThroughAllNodesAtOnceRunsOnce() {
    try (SystemRun run = SystemRun.start("booking-at-once")) {
      List<CompletableFuture<HttpResponse>> calls =
          run.launcher().context().balancer().nodes().stream()
              .map(node -> run.book(node, SLOW_BOOKING, "family-1"))
              .toList();
      List<HttpResponse> responses = calls.stream().map(CompletableFuture::join).toList();
      assertThat(responses).anyMatch(response -> response.status() == 200);
      assertThat(responses)
          .allMatch(response -> response.status() == 200 || !outcome(response).equals("ran"));
      assertThat(run.executions("family-1")).isEqualTo(1);
      for (NodeAddress node : run.launcher().context().balancer().nodes()) {
        HttpResponse again = run.book(node, SLOW_BOOKING, "family-1").join();
        assertThat(again.status()).as(again.json().toString()).isEqualTo(200);
      }
      assertThat(run.executions("family-1")).isEqualTo(1);
      run.assertInvariants();
    }
  }

  /** Repeats the booking until the response reports an outcome other than not-run. */
  private static HttpResponse bookUntilDecided(SystemRun run, NodeAddress node, String key) {
    AtomicReference<HttpResponse> response = new AtomicReference<>();
    SystemRun.await(
        "a node that owns the claim",
        () -> {
          response.set(run.book(node, SLOW_BOOKING, key).join());
          return !outcome(response.get()).equals("not-run");
        });
    return response.get();
  }

  /** Restarts all nodes, since any of them may own the claim. */
  @ParameterizedTest
  @EnumSource(names = {"OUTAGE", "SLOW"})
  void bookingAfterItsFirstNodeDiedBetweenClaimAndResponseDoesNotRunAgain(FaultKind kind) {
    try (SystemRun run = SystemRun.start("booking-node-died-" + kind.wireName())) {
      run.endpoints(SERVICE)
          .forEach(
              endpoint ->
                  run.addFault(
                      endpoint.address(),
                      fault(kind).put("path", "/bookings").put("times", 1).put("delayMs", 8_000)));
      NodeAddress first = run.node(0);
      CompletableFuture<HttpResponse> lost = run.book(first, SLOW_BOOKING, "family-2");
      SystemRun.await(
          "the booking to reach the endpoint",
          () ->
              run.endpoints(SERVICE).stream()
                  .anyMatch(endpoint -> run.faultCount(endpoint.address()) > 0));
      run.restartAllNodes();
      assertThat(lost.handle((response, failure) -> true).join()).isTrue();
      for (int i = 0; i < 4; i++) {
        HttpResponse response = bookUntilDecided(run, run.node(i), "family-2");
        assertThat(code(response)).as(response.json().toString()).isEqualTo("claim-unsettled");
        assertThat(outcome(response)).isEqualTo("unknown");
      }
      assertThat(run.executions("family-2")).isLessThanOrEqualTo(1);
      run.assertInvariants();
    }
  }

  @Test
  void bookingWithThePlatformOutIsRefusedAsNotRunAndRunsLater() {
    try (SystemRun run = SystemRun.start("booking-platform-out")) {
      run.addFault(run.launcher().platform(), fault(FaultKind.OUTAGE));
      HttpResponse refused = run.book(run.node(0), SLOW_BOOKING, "family-3").join();
      assertThat(outcome(refused)).as(refused.json().toString()).isEqualTo("not-run");
      assertThat(run.executions("family-3")).isZero();
      run.clearFaults(run.launcher().platform());
      SystemRun.await(
          "a successful booking after the outage",
          () -> run.book(run.node(1), SLOW_BOOKING, "family-3").join().status() == 200);
      assertThat(run.executions("family-3")).isEqualTo(1);
      run.assertInvariants();
    }
  }

  @Test
  void claimWhoseResponseIsLostRunsAtMostOnce() {
    try (SystemRun run = SystemRun.start("booking-claim-lost")) {
      run.addFault(
          run.launcher().platform(),
          fault(FaultKind.LOST_ANSWER).put("path", "/transactions").put("share", 0.5));
      for (int i = 0; i < 8; i++) {
        String key = "family-4-" + i;
        SystemRun.await(
            "a response that settles the booking",
            () -> {
              HttpResponse response = run.book(run.node(0), SLOW_BOOKING, key).join();
              return response.status() == 200 || outcome(response).equals("unknown");
            });
        assertThat(run.executions(key)).isLessThanOrEqualTo(1);
      }
      run.assertInvariants();
    }
  }

  @Test
  void claimWhoseResponseIsLostAndWhoseOwnerDiesBeforeItReadsBackRunsAtMostOnce() {
    try (SystemRun run = SystemRun.start("booking-claim-lost-owner-died")) {
      NodeAddress first = run.node(0);
      run.addFault(
          run.launcher().platform(), fault(FaultKind.LOST_ANSWER).put("path", "/transactions"));
      CompletableFuture<HttpResponse> lost = run.book(first, SLOW_BOOKING, "family-5");
      SystemRun.await(
          "a lost response", () -> run.faultCount(run.launcher().platform()) > 0 || lost.isDone());
      run.killAllNodes();
      run.clearFaults(run.launcher().platform());
      run.launcher().startNodes(run.launcher().nodeIds());
      assertThat(lost.handle((response, failure) -> true).join()).isTrue();
      SystemRun.await(
          "a response that settles the booking",
          () -> {
            HttpResponse response = run.book(run.node(0), SLOW_BOOKING, "family-5").join();
            return response.status() == 200 || outcome(response).equals("unknown");
          });
      assertThat(run.executions("family-5")).isLessThanOrEqualTo(1);
      run.assertInvariants();
    }
  }
}
