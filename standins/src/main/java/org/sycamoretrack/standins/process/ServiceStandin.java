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
import org.sycamoretrack.transport.request.HttpAnswer;
import org.sycamoretrack.transport.request.HttpExchange;

/**
 * One plain service: lookups, bookings and a scorer.
 *
 * <p>Any method on any path is answered with what was asked and the number of the execution, after
 * {@code serviceTimeMs}, or after {@code workMs} of the query where a call takes longer. {@code
 * POST /score} answers a score that depends on the text alone. Every execution is in the journal,
 * read at {@code GET /executions?after=N}, whatever becomes of its answer.
 */
public final class ServiceStandin implements AutoCloseable {
  private static final int SCORES = 1_000;

  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final int serviceTimeMs;
  private final FaultInjector faults = new FaultInjector(0);
  private final ExecutionJournal journal = new ExecutionJournal();
  private final AtomicInteger running = new AtomicInteger();
  private final HttpServer server;

  /**
   * Starts a service with an event loop of its own.
   *
   * @param port where it listens on the loopback address, 0 for a free port
   * @param serviceTimeMs how long a call takes, in milliseconds
   */
  public static ServiceStandin start(int port, int serviceTimeMs) {
    return new ServiceStandin(EventLoops.start("service", 1), true, port, serviceTimeMs);
  }

  /**
   * Starts a service on shared event loops.
   *
   * @param group the loops, which are not stopped with the service
   * @param port where it listens on the loopback address, 0 for a free port
   * @param serviceTimeMs how long a call takes, in milliseconds
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

  /** Returns where the service listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the fault switch. */
  public FaultInjector faults() {
    return faults;
  }

  /** Returns the calls that the service ran. */
  public ExecutionJournal journal() {
    return journal;
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/executions" -> {
        String after = exchange.queryParam("after");
        long afterSeq = after == null ? 0 : Long.parseLong(after);
        exchange.respond(HttpAnswer.json(200, Map.of("executions", journal.executions(afterSeq))));
      }
      case "/load" ->
          exchange.respond(
              HttpAnswer.json(
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
      exchange.respond(HttpAnswer.json(200, Map.of("score", score(body.path("text").asText()))));
      return;
    }
    ObjectNode answer =
        Json.object()
            .put("execution", execution.seq())
            .put("method", exchange.method())
            .put("target", exchange.target());
    exchange.respond(HttpAnswer.json(200, answer.set("body", body)));
  }

  /**
   * Returns the score of a text.
   *
   * @param text the text of a sample
   * @return 0 to 1
   */
  public static double score(String text) {
    return (double) Math.floorMod(text.hashCode(), SCORES) / SCORES;
  }

  @Override
  public void close() {
    server.close();
    if (ownsGroup) {
      EventLoops.stop(group);
    }
  }
}
