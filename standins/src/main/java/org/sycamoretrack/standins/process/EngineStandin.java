package org.sycamoretrack.standins.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.standins.connection.PrefixCache;
import org.sycamoretrack.standins.request.CompletionRequest;
import org.sycamoretrack.standins.request.EngineJournal;
import org.sycamoretrack.standins.request.SimulatedCompletion;
import org.sycamoretrack.standins.request.TokenStream;
import org.sycamoretrack.standins.version.EngineWeights;
import org.sycamoretrack.transport.connection.EventLoops;
import org.sycamoretrack.transport.connection.HttpClient;
import org.sycamoretrack.transport.connection.HttpServer;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpExchange;
import org.sycamoretrack.transport.request.HttpResponse;
import org.sycamoretrack.transport.request.HttpResponseStream;

/**
 * Simulates a model engine.
 *
 * <p>Its state is confined to one event loop, which several engines can share. Starting, crashing
 * and restarting bind and close sockets; these operations block and therefore run on a separate
 * thread. A crash closes all connections; after the restart the prefix cache is empty and the
 * initial weight version is served. The journal, the load commands and the highest fencing token
 * are kept.
 *
 * <p>In addition to the engine protocol it serves {@code GET /journal?after=N} with the streams
 * that it ran, {@code GET /orders}, {@code GET /statistics}, {@code POST /crash} with {@code
 * {"restartAfterMs"}} (-1 for no restart), {@code PUT /leaving} with {@code {"leaving"}}, and
 * {@code /faults}, see {@link FaultInjector}.
 */
public final class EngineStandin implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final ScheduledExecutorService LIFECYCLE =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("engine-lifecycle").daemon().factory());
  private static final Map<String, String> STREAM_HEADERS =
      Map.of("content-type", "text/event-stream");

  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final EventLoop loop;
  private final EngineSettings settings;
  private final FaultInjector faults;
  private final EngineJournal journal = new EngineJournal();
  private final PrefixCache cache;
  private final EngineWeights weights;
  private final DelayedLoadReport loadReport;
  private final InetSocketAddress address;
  private volatile HttpServer server;
  private ContinuousBatcher batcher;
  private boolean leaving;
  private long crashes;
  private boolean closed;

  /**
   * Starts an engine with its own event loop.
   *
   * @param port its port on the loopback address, 0 for any free port
   * @param settings the settings
   */
  public static EngineStandin start(int port, EngineSettings settings) {
    return new EngineStandin(EventLoops.start("engine", 1), true, port, settings);
  }

  /**
   * Starts an engine on shared event loops.
   *
   * @param group the event loops; closing the engine does not stop them
   * @param port its port on the loopback address, 0 for any free port
   * @param settings the settings
   */
  public static EngineStandin start(EventLoopGroup group, int port, EngineSettings settings) {
    return new EngineStandin(group, false, port, settings);
  }

  private EngineStandin(
      EventLoopGroup group, boolean ownsGroup, int port, EngineSettings settings) {
    this.group = group;
    this.ownsGroup = ownsGroup;
    this.loop = group.next();
    this.settings = settings;
    this.faults = new FaultInjector(settings.seed());
    this.cache = new PrefixCache(settings.cacheBlocks(), settings.reportLagMs());
    this.weights =
        new EngineWeights(
            loop,
            new HttpClient(group, CONNECT_TIMEOUT_MS),
            faults,
            new EngineWeights.Settings(
                settings.weightStore(),
                settings.model(),
                settings.initialVersion(),
                settings.loadTimeMs(),
                settings.checksFence()));
    this.loadReport = new DelayedLoadReport(settings.reportLagMs());
    this.batcher = newBatcher();
    this.server = listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    this.address = server.address();
  }

  private ContinuousBatcher newBatcher() {
    return new ContinuousBatcher(loop, settings, cache, weights, faults, this::crashOnPoison);
  }

  private HttpServer listen(InetSocketAddress bindAddress) {
    return HttpServer.builder()
        .group(group)
        .address(bindAddress)
        .maxBodyBytes(MAX_BODY_BYTES)
        .handler(faults.wrap(exchange -> runOnEventLoop(() -> handle(exchange))))
        .start();
  }

  private void runOnEventLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }

  /** Returns the address that the engine listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the fault injector. */
  public FaultInjector faults() {
    return faults;
  }

  /** Returns the journal of the streams that the engine ran. */
  public EngineJournal journal() {
    return journal;
  }

  private void handle(HttpExchange exchange) {
    String[] segments = HttpUtils.segments(exchange.path());
    switch (segments[0]) {
      case "v1" -> handleRequest(exchange, segments);
      case "load" -> exchange.respond(loadReport.report(currentLoad()));
      case "weights" -> exchange.respond(weights.report());
      case "orders" ->
          exchange.respond(
              exchange.method().equals("POST")
                  ? weights.handleLoadCommand(HttpUtils.body(exchange))
                  : weights.loadCommands());
      case "cache-events" ->
          exchange.respond(jsonField("events", cache.events(afterParameter(exchange))));
      case "journal" ->
          exchange.respond(jsonField("entries", journal.toJson(afterParameter(exchange))));
      case "statistics" -> exchange.respond(HttpResponse.json(200, statistics()));
      case "crash" -> crashOnRequest(exchange);
      case "leaving" -> {
        leaving = HttpUtils.body(exchange).path("leaving").asBoolean();
        exchange.respond(HttpResponse.json(200, Map.of("leaving", leaving)));
      }
      default -> exchange.respond(HttpUtils.error(404, "not-found", "no such path"));
    }
  }

  private static long afterParameter(HttpExchange exchange) {
    String after = exchange.queryParam("after");
    return after == null ? 0 : Long.parseLong(after);
  }

  private static HttpResponse jsonField(String name, JsonNode value) {
    return HttpResponse.json(200, Json.object().set(name, value));
  }

  private void handleRequest(HttpExchange exchange, String[] segments) {
    if (segments.length == 3 && exchange.method().equals("DELETE")) {
      boolean cancelled = batcher.cancel(segments[2]);
      exchange.respond(HttpResponse.json(200, Map.of("cancelled", cancelled)));
      return;
    }
    if (batcher.waitingCount() >= settings.maxWaiting()) {
      exchange.respond(HttpUtils.tooManyRequests(1));
      return;
    }
    try {
      String id = exchange.headers().get("x-request-id");
      generate(
          exchange,
          CompletionRequest.parse(
              id == null ? UUID.randomUUID().toString() : id, HttpUtils.body(exchange)));
    } catch (IllegalArgumentException e) {
      exchange.respond(HttpUtils.error(400, "invalid-request", e.getMessage()));
    }
  }

  private void generate(HttpExchange exchange, CompletionRequest request) {
    SimulatedCompletion completion =
        new SimulatedCompletion(request.prompt(), request.seed(), settings.medianTokens());
    if (!request.continueText().equals(completion.text(request.continueTokens()))) {
      throw new IllegalArgumentException(
          "continue_from: text differs from what the model generates");
    }
    HttpResponseStream response = exchange.startStream(200, STREAM_HEADERS);
    TokenStream stream = new TokenStream(request, completion, response, journal.begin(request));
    exchange.onClientDisconnect(() -> runOnEventLoop(() -> batcher.cancel(stream)));
    batcher.add(stream);
  }

  private ObjectNode currentLoad() {
    return Json.object()
        .put("running", batcher.runningCount())
        .put("waiting", batcher.waitingCount())
        .put("kvUsedShare", cache.usedShare())
        .put("weightVersion", weights.reportedVersion())
        .put("leaving", leaving)
        .put("asOfMs", System.currentTimeMillis());
  }

  private Map<String, Long> statistics() {
    return Map.of(
        "streams", journal.count(),
        "tokens", batcher.tokens(),
        "crashes", crashes,
        "faults", faults.occurred());
  }

  private void crashOnRequest(HttpExchange exchange) {
    int restartAfterMs = HttpUtils.body(exchange).path("restartAfterMs").asInt(0);
    exchange.respond(HttpResponse.json(200, Map.of("crashing", true)));
    beginCrash(restartAfterMs);
  }

  private void crashOnPoison() {
    beginCrash(settings.restartTimeMs());
  }

  /** Aborts all streams on the event loop; the sockets are closed on the lifecycle thread. */
  private void beginCrash(int restartAfterMs) {
    crashes++;
    batcher.stop();
    LIFECYCLE.execute(this::closeServer);
    if (restartAfterMs >= 0) {
      LIFECYCLE.schedule(this::restartOnLifecycleThread, restartAfterMs, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Closes the server and waits until its port refuses connections: the kernel accepts them until
   * the event loop has released the closed socket.
   */
  private void closeServer() {
    server.close();
    boolean accepts = true;
    while (accepts) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        accepts = socket.isConnected();
      } catch (IOException e) {
        // The port refuses connections, which is what this method waits for.
        accepts = false;
      }
    }
  }

  /**
   * Crashes the engine without a restart.
   *
   * @return completes when its port and all connections are closed
   */
  public CompletableFuture<Void> crash() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          beginCrash(-1);
          stopped.complete(null);
        });
    return stopped.thenRunAsync(() -> {}, LIFECYCLE);
  }

  /**
   * Restarts the engine after a crash, with the initial weight version and an empty cache.
   *
   * @return completes when the engine is listening
   */
  public CompletableFuture<Void> restart() {
    return CompletableFuture.runAsync(this::restartOnLifecycleThread, LIFECYCLE);
  }

  private void restartOnLifecycleThread() {
    if (closed) {
      return;
    }
    loop.submit(
            () -> {
              weights.reset();
              cache.clear();
              batcher = newBatcher();
            })
        .syncUninterruptibly();
    server = listen(address);
  }

  @Override
  public void close() {
    CompletableFuture.runAsync(
            () -> {
              closed = true;
              loop.submit(() -> batcher.stop()).syncUninterruptibly();
              server.close();
            },
            LIFECYCLE)
        .join();
    if (ownsGroup) {
      EventLoops.stop(group);
    }
  }
}
