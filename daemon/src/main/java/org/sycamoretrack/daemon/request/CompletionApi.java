package org.sycamoretrack.daemon.request;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.daemon.process.NodeLimits;
import org.sycamoretrack.daemon.process.NodeMetrics;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/** Handles completion calls of the caller port, with complete or streamed responses. */
final class CompletionApi {
  private static final int MAX_DEADLINE_MS = 3_600_000;
  private static final int MAX_ID_CHARS = 128;

  private final Generator generator;
  private final Predicate<String> isModelPool;
  private final NodeLimits limits;
  private final NodeMetrics metrics;

  /**
   * Creates the API.
   *
   * @param generator generates the completions
   * @param isModelPool whether the current configuration has a pool of model engines with a given
   *     name
   * @param limits the node's limits
   * @param metrics the node's metrics
   */
  CompletionApi(
      Generator generator, Predicate<String> isModelPool, NodeLimits limits, NodeMetrics metrics) {
    this.generator = generator;
    this.isModelPool = isModelPool;
    this.limits = limits;
    this.metrics = metrics;
  }

  /** Parses a call and checks that its pool exists. */
  CompletionCall parse(HttpExchange exchange, boolean chat) {
    CompletionCall call =
        CompletionCall.parse(requestId(exchange.headers()), chat, exchange.body());
    if (!isModelPool.test(call.model())) {
      throw new SycamoreException(
          ErrorCode.NOT_FOUND, ExecutionOutcome.NOT_RUN, "no model pool " + call.model());
    }
    return call;
  }

  /** Handles a call and responds to it. */
  void handle(HttpExchange exchange, boolean chat) {
    CompletionCall call = parse(exchange, chat);
    CompletionResponder responder =
        call.stream()
            ? new StreamedCompletion(call, exchange)
            : new WholeCompletion(call, exchange::respond);
    GenerationListener metered = new MeteredGenerationListener(responder, metrics, "completions");
    GenerationRequest request = request(call, exchange.headers()).build();
    Generation generation = generator.generate(request, metered, exchange.eventLoop());
    exchange.onClientDisconnect(generation::cancel);
  }

  /**
   * Runs a call without a retry after it may have run.
   *
   * @param call the call
   * @param exchange the exchange of the call; this method does not respond to it
   * @return the complete response; fails with a {@link SycamoreException}
   */
  CompletableFuture<HttpResponse> runOnce(CompletionCall call, HttpExchange exchange) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    WholeCompletion completion = new WholeCompletion(call, result::complete);
    completion.onFailure(result::completeExceptionally);
    GenerationRequest request = request(call, exchange.headers()).repeatable(false).build();
    EventLoop loop = exchange.eventLoop();
    loop.execute(() -> generator.generate(request, completion, loop));
    return result;
  }

  private GenerationRequest.Builder request(CompletionCall call, HttpHeaders headers) {
    long deadlineMs = deadlineMs(headers, limits.defaultDeadlineMs());
    long seed = call.seed() == null ? ThreadLocalRandom.current().nextLong(1L << 53) : call.seed();
    return GenerationRequest.builder(call.id())
        .pools(List.of(call.model()))
        .prompt(call.prompt())
        .maxTokens(call.maxTokens())
        .seed(seed)
        .requestClass(RequestClass.INTERACTIVE)
        .flow(headers.get("x-customer", ""))
        .deadlineNanos(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs));
  }

  /** Returns the deadline that the caller sets for its request, in milliseconds from now. */
  static long deadlineMs(HttpHeaders headers, int defaultMs) {
    String text = headers.get("x-deadline-ms");
    if (text == null) {
      return defaultMs;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= 1 && value <= MAX_DEADLINE_MS) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw RequestBodyFields.invalid("x-deadline-ms must be an integer, 1 to " + MAX_DEADLINE_MS);
    }
    throw RequestBodyFields.invalid("x-deadline-ms must be 1 to " + MAX_DEADLINE_MS);
  }

  /** Returns the id that the caller sets for its request, or a new one. */
  static String requestId(HttpHeaders headers) {
    String id = headers.get("x-request-id");
    if (id == null || id.isEmpty()) {
      return UUID.randomUUID().toString();
    }
    if (id.length() > MAX_ID_CHARS || !id.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '/')) {
      throw RequestBodyFields.invalid(
          "x-request-id must be at most " + MAX_ID_CHARS + " visible ASCII characters without /");
    }
    return id;
  }
}
