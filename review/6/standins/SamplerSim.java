import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a sampler. It answers plain requests after 30 ms and runs items as streams of
 * events of 50 tokens each; the number of events follows from the header X-Token-Count.
 */
final class SamplerSim implements AutoCloseable {
  static final int TOKENS_PER_EVENT = 50;
  private static final int EVENT_BYTES = 310;
  private static final long PLAIN_MS = 30;

  /** Receives what samplers run. */
  interface Listener {
    /** Called when a request or an item begins to run. */
    void onBegin(String samplerId, String requestId);

    /** Called when it has ended, with whether it was answered completely. */
    void onEnd(String samplerId, String requestId, boolean complete);
  }

  private final HttpServer server;
  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final String model;
  private final long eventGapMs;
  private final Listener listener;
  private final long bornMs = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean closed;

  /** The model is null for a plain service. */
  SamplerSim(
      String id,
      String service,
      String zone,
      int slots,
      String model,
      long eventGapMs,
      Listener listener)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.model = model;
    this.eventGapMs = eventGapMs;
    this.listener = listener;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  String id() {
    return id;
  }

  int running() {
    return running.get();
  }

  int slots() {
    return slots;
  }

  String entry() {
    String models =
        model == null
            ? ""
            : ",\"stage\":\"both\",\"models\":[{\"name\":\""
                + model
                + "\",\"version\":1,\"adapters\":[]}]";
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0%s,\"born\":%d,\"seq\":1}",
        service, server.getAddress().getPort(), zone, slots, models, bornMs);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath();
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      exchange.getResponseHeaders().set("X-Instance-Id", id);
      exchange
          .getResponseHeaders()
          .set("X-Instance-Load", running.get() + ",0," + slots + ",100");
      if (expected != null && !expected.equals(id)) {
        exchange.sendResponseHeaders(421, -1);
      } else if (path.equals("/health")) {
        exchange.sendResponseHeaders(200, -1);
      } else if (path.equals("/-/report")) {
        report(exchange);
      } else if (path.startsWith("/-/")) {
        exchange.sendResponseHeaders(400, -1);
      } else {
        run(exchange, body);
      }
    }
  }

  private void report(HttpExchange exchange) throws IOException {
    List<Object> models =
        model == null
            ? List.of()
            : List.of(Map.of("name", model, "version", 1, "adapters", List.of()));
    String json =
        Json.write(
            Map.of(
                "stage", "both", "models", models, "busy", false, "seq", 0, "waiting", 0,
                "running", running.get(), "kv_used", 0, "kv_total", 100_000, "born", bornMs));
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private void run(HttpExchange exchange, byte[] body) throws IOException {
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    exchange.getResponseHeaders().set("X-Request-Id", String.valueOf(requestId));
    if (requestId == null || running.incrementAndGet() > slots) {
      if (requestId != null) {
        running.decrementAndGet();
      }
      exchange.getResponseHeaders().set("X-Not-Executed", "1");
      exchange.sendResponseHeaders(requestId == null ? 400 : 503, -1);
      return;
    }
    boolean complete = false;
    listener.onBegin(id, requestId);
    try {
      exchange.getResponseHeaders().set("X-Response-Seal", "seal." + requestId);
      if (model == null) {
        StoreSim.sleep(PLAIN_MS);
        byte[] answer = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
      } else {
        stream(exchange, requestId);
      }
      complete = true;
    } finally {
      running.decrementAndGet();
      listener.onEnd(id, requestId, complete);
    }
  }

  private void stream(HttpExchange exchange, String requestId) throws IOException {
    String tokens = exchange.getRequestHeaders().getFirst("X-Token-Count");
    int events = Integer.parseInt(tokens.substring(tokens.indexOf(',') + 1)) / TOKENS_PER_EVENT;
    String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("X-Weight-Versions", "1");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
      StoreSim.sleep(eventGapMs);
      if (closed) {
        throw new IOException("the sampler has ended");
      }
      String data = requestId + " event " + event + " ";
      data += "x".repeat(EVENT_BYTES - data.length());
      String text = "id: " + event + "\ndata: " + data + "\n\n";
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
    out.close();
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
  }
}
