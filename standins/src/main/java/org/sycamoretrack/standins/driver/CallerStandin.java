package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.sycamoretrack.standins.history.HistoryRecord.RequestAnswered;
import org.sycamoretrack.standins.history.HistoryRecord.RequestBroken;
import org.sycamoretrack.standins.history.HistoryRecord.RequestRefused;
import org.sycamoretrack.standins.history.HistoryRecord.RequestSent;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Simulates a client of interactive requests, for example a floor terminal or a booking counter,
 * that sends calls at a constant rate.
 *
 * <p>A call is retried only when that is safe: it was rejected as not run, it carries an
 * idempotency key, or it is repeatable. Each attempt has its own request id. A call succeeds when a
 * complete response with the expected content arrived. The error {@code claim-unsettled} is final
 * for a call with a key and is counted separately.
 */
public final class CallerStandin implements AutoCloseable {
  private static final String CLAIM_UNSETTLED = "claim-unsettled";
  private static final int REQUEST_TIMEOUT_MS = 10_000;
  private static final int CALL_TIMEOUT_MS = 60_000;
  private static final int RETRY_DELAY_MS = 100;
  private static final int MAX_RETRY_DELAY_MS = 1_000;
  private static final int MAX_FAILURE_MESSAGES = 20;
  private static final long MAX_LATENCY_US = 120_000_000;
  private static final double US_PER_MS = 1_000;

  private final DriverContext context;
  private final Deployment.Caller caller;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Thread issuer;
  private final AtomicInteger calls = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger unsettled = new AtomicInteger();
  private final AtomicInteger retries = new AtomicInteger();
  private final ConcurrentHistogram latencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
  private final List<String> failureMessages = new ArrayList<>();
  private volatile boolean stopping;

  private CallerStandin(DriverContext context, Deployment.Caller caller) {
    this.context = context;
    this.caller = caller;
    this.issuer = Thread.ofVirtual().name(caller.name()).unstarted(this::issueCalls);
  }

  /**
   * Starts sending calls.
   *
   * @param context client, balancer and history, shared with other callers and trainers
   * @param caller the caller as the deployment defines it
   * @return the running caller
   */
  public static CallerStandin start(DriverContext context, Deployment.Caller caller) {
    CallerStandin standin = new CallerStandin(context, caller);
    standin.issuer.start();
    return standin;
  }

  /** Returns the number of calls started so far. */
  public int callCount() {
    return calls.get();
  }

  /** Returns the number of calls that failed so far. */
  public int failedCount() {
    return failed.get();
  }

  /** Returns error messages of the first {@value #MAX_FAILURE_MESSAGES} failed calls. */
  public List<String> failureMessages() {
    synchronized (failureMessages) {
      return List.copyOf(failureMessages);
    }
  }

  private void issueCalls() {
    long startNs = System.nanoTime();
    double intervalNs = TimeUnit.SECONDS.toNanos(1) / caller.requestsPerSecond();
    while (!stopping) {
      int number = calls.incrementAndGet();
      long dueNs = startNs + (long) (number * intervalNs);
      DriverContext.pause(
          Math.max(0, (double) (dueNs - System.nanoTime()) / TimeUnit.MILLISECONDS.toNanos(1)));
      executor.execute(() -> execute(Call.of(caller, context.deployment(), number), number));
    }
  }

  private void execute(Call call, int number) {
    long startNs = System.nanoTime();
    String failureMessage = "not sent";
    long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MS);
    for (int attempt = 1; System.nanoTime() < endNs; attempt++) {
      NodeAddress node = context.balancer().choose(caller.zone());
      String requestId = caller.name() + "-" + number + "-" + attempt;
      SendResult result = send(call, node, requestId);
      if (result.failureMessage() == null) {
        latencyUs.recordValue(
            Math.min(MAX_LATENCY_US, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs)));
        return;
      }
      failureMessage = requestId + " at " + node.nodeId() + ": " + result.failureMessage();
      if (!result.mayRetry()) {
        break;
      }
      if (result.nodeFailed()) {
        context.balancer().onFailure(node);
      }
      retries.incrementAndGet();
      DriverContext.pause(Math.min(MAX_RETRY_DELAY_MS, attempt * RETRY_DELAY_MS));
    }
    recordFailure(failureMessage);
  }

  private void recordFailure(String message) {
    failed.incrementAndGet();
    synchronized (failureMessages) {
      if (failureMessages.size() < MAX_FAILURE_MESSAGES) {
        failureMessages.add(message);
      }
    }
  }

  /**
   * Result of one attempt.
   *
   * @param failureMessage error message, or null if the call succeeded or its claim is unsettled
   * @param mayRetry whether the call may be sent again
   * @param nodeFailed whether to try another node
   */
  private record SendResult(String failureMessage, boolean mayRetry, boolean nodeFailed) {
    static final SendResult OK = new SendResult(null, false, false);
  }

  private SendResult send(Call call, NodeAddress node, String requestId) {
    context
        .history()
        .add(
            new RequestSent(
                System.currentTimeMillis(),
                requestId,
                node.nodeId(),
                call.repeatable(),
                call.key(),
                call.prompt(),
                call.expected()));
    try {
      HttpRequest request = call.request(node.caller(), requestId, REQUEST_TIMEOUT_MS);
      return onResponse(call, requestId, context.call(request, node, caller.zone()));
    } catch (HttpException e) {
      context
          .history()
          .add(new RequestBroken(System.currentTimeMillis(), requestId, e.maybeSent()));
      boolean mayRetry = !e.maybeSent() || call.repeatable() || call.key() != null;
      return new SendResult(e.kind() + " " + e.getMessage(), mayRetry, true);
    }
  }

  private SendResult onResponse(Call call, String requestId, HttpResponse response) {
    if (response.status() != 200) {
      return onError(call, requestId, response.json().path("error"));
    }
    if (call.prompt() == null) {
      return onResponseText(call, requestId, Call.serviceText(response.json()), 0);
    }
    CompletionResponse completion = CompletionResponse.parse(response);
    if (completion.error() != null) {
      return onError(call, requestId, completion.error());
    }
    if (!completion.ended()) {
      // The HTTP response ended normally, but the stream has no end marker.
      return onResponseText(call, requestId, completion.text(), -1);
    }
    return onResponseText(call, requestId, completion.text(), completion.tokens());
  }

  private SendResult onError(Call call, String requestId, JsonNode error) {
    String code = error.path("code").asText("none");
    String outcome = error.path("outcome").asText("none");
    context.history().add(new RequestRefused(System.currentTimeMillis(), requestId, code, outcome));
    if (code.equals(CLAIM_UNSETTLED)) {
      unsettled.incrementAndGet();
      return SendResult.OK;
    }
    boolean mayRetry = outcome.equals("not-run") || call.repeatable() || call.key() != null;
    boolean nodeFailed = code.equals("stopping") || code.equals("peer-unavailable");
    return new SendResult(code + " " + error.path("message").asText(), mayRetry, nodeFailed);
  }

  private SendResult onResponseText(Call call, String requestId, String text, int tokens) {
    context.history().add(new RequestAnswered(System.currentTimeMillis(), requestId, text, tokens));
    if (text.equals(call.expected()) && tokens >= 0) {
      return SendResult.OK;
    }
    return new SendResult(
        "received \"" + text + "\" but expected \"" + call.expected() + "\"", false, false);
  }

  /** Stops sending calls, waits for the calls in flight and returns the counters. */
  public CallerReport stop() {
    stopping = true;
    try {
      issuer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the caller to stop", e);
    }
    executor.close();
    return new CallerReport(
        calls.get(),
        failed.get(),
        unsettled.get(),
        retries.get(),
        latencyUs.getValueAtPercentile(50) / US_PER_MS,
        latencyUs.getValueAtPercentile(99) / US_PER_MS);
  }

  @Override
  public void close() {
    stopping = true;
    issuer.interrupt();
    executor.shutdownNow();
  }
}
