package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sycamoretrack.standins.request.ExecutionJournal;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Simulates a plain service with lookups, bookings and a scorer.
 *
 * <p>It responds to any method on any path with the request and the number of the execution. A call
 * takes {@code serviceTimeMs}, or the value of the query parameter {@code workMs} if present.
 * {@code POST /score} returns a score that depends only on the text; a share of the texts, {@link
 * #setUnscorableShare}, gets an error each time. Every execution is recorded in the journal, even
 * if its response is lost; {@code GET /executions?after=N} reads it.
 */
public final class ServiceStandin implements AutoCloseable {
  private static final int SCORE_COUNT = 1_000;

  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final int serviceTimeMs;
  private final FaultInjector faults = new FaultInjector(0);
  private final ExecutionJournal journal = new ExecutionJournal();
  private final AtomicInteger running = new AtomicInteger();
  private final HttpServer server;
  private volatile double unscorableShare;

  /**
   * Starts a service with its own event loop.
   *
   * @param port its port on the loopback address, 0 for any free port
   * @param serviceTimeMs duration of a call, in milliseconds
   */
  public static ServiceStandin start(int port, int serviceTimeMs) {
    return new ServiceStandin(EventLoops.start("service", 1), true, port, serviceTimeMs);
  }

  /**
   * Starts a service on shared event loops.
   *
   * @param group the event loops; closing the service does not stop them
   * @param port its port on the loopback address, 0 for any free port
   * @param serviceTimeMs duration of a call, in milliseconds
   */
  public static ServiceStandin start(EventLoopGroup group, int port, int serviceTimeMs) {
    return new ServiceStandin(group, false, port, serviceTimeMs);
  }

  private ServiceStandin(EventLoopGroup group, boolean ownsGroup, int port, int serviceTimeMs) {
    this.group = group;
    this.ownsGroup = ownsGroup;
    this.serviceTimeMs = serviceTimeMs;
    this.server =
        HttpServer.builder()
            .group(group)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .handler(faults.wrap(this::handle))
            .start();
  }

  /** Returns the address that the service listens on. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the fault injector. */
  public FaultInjector faults() {
    return faults;
  }

  /**
   * Sets the texts for which the scorer always reports an error: those whose score would be lower.
   *
   * @param share the share of the texts, from 0 to 1
   */
  public void setUnscorableShare(double share) {
    unscorableShare = share;
  }

  /** Returns the journal of executed calls. */
  public ExecutionJournal journal() {
    return journal;
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/executions" -> {
        String after = exchange.queryParam("after");
        long afterSeq = after == null ? 0 : Long.parseLong(after);
        exchange.respond(
            HttpResponse.json(200, Map.of("executions", journal.executions(afterSeq))));
      }
      case "/load" ->
          exchange.respond(
              HttpResponse.json(
                  200, Map.of("running", running.get(), "asOfMs", System.currentTimeMillis())));
      default -> execute(exchange);
    }
  }

  private void execute(HttpExchange exchange) {
    HttpHeaders headers = exchange.headers();
    ExecutionJournal.Execution execution =
        journal.add(
            exchange.method(),
            exchange.path(),
            headers.get("x-request-id"),
            headers.get("x-attempt"),
            headers.get("idempotency-key"));
    running.incrementAndGet();
    exchange
        .eventLoop()
        .schedule(() -> finish(exchange, execution), workMs(exchange), TimeUnit.MILLISECONDS);
  }

  private int workMs(HttpExchange exchange) {
    String workMs = exchange.queryParam("workMs");
    return workMs == null ? serviceTimeMs : Integer.parseInt(workMs);
  }

  private void finish(HttpExchange exchange, ExecutionJournal.Execution execution) {
    running.decrementAndGet();
    JsonNode body = HttpUtils.body(exchange);
    if (exchange.path().equals("/score")) {
      double score = score(body.path("text").asText());
      exchange.respond(
          score < unscorableShare
              ? HttpUtils.error(500, "unscorable", "the text can't be scored")
              : HttpResponse.json(200, Map.of("score", score)));
      return;
    }
    ObjectNode response =
        Json.object()
            .put("execution", execution.seq())
            .put("method", exchange.method())
            .put("target", exchange.target());
    exchange.respond(HttpResponse.json(200, response.set("body", body)));
  }

  /**
   * Returns the score of a text.
   *
   * @param text the text of a sample
   * @return the score, from 0 (inclusive) to 1 (exclusive)
   */
  public static double score(String text) {
    return (double) Math.floorMod(text.hashCode(), SCORE_COUNT) / SCORE_COUNT;
  }

  @Override
  public void close() {
    server.close();
    if (ownsGroup) {
      EventLoops.stop(group);
    }
  }
}
