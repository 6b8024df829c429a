package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sycamoretrack.standins.connection.InterceptedExchange;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpHandler;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Injects faults into a stand-in. Faults are added in process by {@link #add} or over HTTP: {@code
 * POST /faults} adds a fault, {@code GET /faults} returns the number of occurrences, {@code DELETE
 * /faults} removes all faults.
 *
 * <p>Each request is matched against the faults in the order in which they were added; the first
 * match determines the response. A fault expires after {@code times} occurrences or after {@code
 * durationMs}. Thread-safe.
 */
public final class FaultInjector {
  private static final String CONTROL_PATH = "/faults";
  private static final int MAX_RECORDED_RESPONSES = 1_024;

  /** A fault with its start time and number of occurrences. */
  private static final class ActiveFault {
    final Fault fault;
    final long startNs = System.nanoTime();
    int occurrences;

    ActiveFault(Fault fault) {
      this.fault = fault;
    }

    boolean isExpired() {
      boolean exhausted = fault.times() > 0 && occurrences >= fault.times();
      long ageNs = System.nanoTime() - startNs;
      return exhausted
          || (fault.durationMs() > 0 && ageNs > TimeUnit.MILLISECONDS.toNanos(fault.durationMs()));
    }
  }

  private final List<ActiveFault> active = new ArrayList<>();
  private final Map<String, HttpResponse> recordedResponses =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HttpResponse> eldest) {
          return size() > MAX_RECORDED_RESPONSES;
        }
      };
  private final Random random;
  private long occurred;

  /**
   * Creates an injector without faults.
   *
   * @param seed random seed for faults with a {@code share}
   */
  public FaultInjector(long seed) {
    this.random = new Random(seed);
  }

  /**
   * Adds a fault.
   *
   * @param fault the fault
   */
  public synchronized void add(Fault fault) {
    active.add(new ActiveFault(fault));
  }

  /** Removes all faults. */
  public synchronized void clear() {
    active.clear();
  }

  /** Returns the total number of occurrences of faults. */
  public synchronized long occurred() {
    return occurred;
  }

  /**
   * Triggers a fault that does not affect HTTP, if one is active, and counts the occurrence.
   *
   * @param kind the kind
   * @return the fault, or null if none occurs
   */
  public Fault trigger(FaultKind kind) {
    return trigger(fault -> fault.kind() == kind);
  }

  /**
   * Triggers a poison fault that matches a prompt, if one is active, and counts the occurrence.
   *
   * @param prompt the prompt that an engine is about to process
   * @return whether the prompt crashes the engine
   */
  boolean triggerPoison(String prompt) {
    return trigger(fault -> fault.kind() == FaultKind.POISON && prompt.contains(fault.prompt()))
        != null;
  }

  /** Returns the factor by which active faults multiply an engine's time per token. */
  synchronized double slowFactor() {
    double factor = 1;
    for (ActiveFault candidate : active) {
      if (candidate.fault.kind() == FaultKind.SLOWED_ENGINE && !candidate.isExpired()) {
        factor *= candidate.fault.factor();
      }
    }
    return factor;
  }

  private synchronized Fault trigger(Predicate<Fault> predicate) {
    if (active.isEmpty()) {
      return null;
    }
    active.removeIf(ActiveFault::isExpired);
    for (ActiveFault candidate : active) {
      Fault fault = candidate.fault;
      if (predicate.test(fault) && (fault.share() >= 1 || random.nextDouble() < fault.share())) {
        candidate.occurrences++;
        occurred++;
        return fault;
      }
    }
    return null;
  }

  /**
   * Returns a handler that injects faults and also serves {@code /faults}.
   *
   * @param handler the handler of the stand-in
   */
  public HttpHandler wrap(HttpHandler handler) {
    return exchange -> {
      if (exchange.path().equals(CONTROL_PATH)) {
        handleControlRequest(exchange);
        return;
      }
      String method = exchange.method();
      String path = exchange.path();
      Fault fault = trigger(each -> each.kind().isHttp() && each.matches(method, path));
      if (fault == null) {
        handler.handle(recording(exchange));
      } else {
        apply(fault, exchange, handler);
      }
    };
  }

  private void apply(Fault fault, HttpExchange exchange, HttpHandler handler) {
    switch (fault.kind()) {
      case SLOW ->
          exchange
              .eventLoop()
              .schedule(() -> handler.handle(exchange), fault.delayMs(), TimeUnit.MILLISECONDS);
      case REFUSED ->
          exchange.respond(HttpUtils.error(503, "refused", "rejected by an injected fault"));
      case OUTAGE -> exchange.abort();
      case STALE ->
          handler.handle(InterceptedExchange.withReplacement(exchange, recordedResponse(exchange)));
      default -> handler.handle(InterceptedExchange.withFault(exchange, fault));
    }
  }

  private HttpExchange recording(HttpExchange exchange) {
    if (!exchange.method().equals("GET")) {
      return exchange;
    }
    return InterceptedExchange.withObserver(
        exchange, response -> recordResponse(exchange.target(), response));
  }

  private synchronized void recordResponse(String target, HttpResponse response) {
    recordedResponses.putIfAbsent(target, response);
  }

  private synchronized HttpResponse recordedResponse(HttpExchange exchange) {
    return exchange.method().equals("GET") ? recordedResponses.get(exchange.target()) : null;
  }

  private void handleControlRequest(HttpExchange exchange) {
    switch (exchange.method()) {
      case "POST" -> {
        JsonNode json = HttpUtils.body(exchange);
        try {
          add(Fault.parse(json));
          exchange.respond(HttpResponse.json(200, Map.of("added", true)));
        } catch (IllegalArgumentException e) {
          exchange.respond(HttpUtils.error(400, "invalid-request", "kind: " + e.getMessage()));
        }
      }
      case "DELETE" -> {
        clear();
        exchange.respond(HttpResponse.json(200, Map.of("cleared", true)));
      }
      default -> exchange.respond(HttpResponse.json(200, Map.of("occurred", occurred())));
    }
  }
}
