import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sampler as PROTOCOL.md describes it: runs plain requests and items, reports, takes orders, and
 * renews its entry in the store. Sound unless a subclass overrides {@link #runPlain} or {@link
 * #runItem}.
 */
class Sampler {
  private static final long HEARTBEAT_MS = 1_200;
  private static final long LOAD_MS = 900;

  final String id;
  final String service;
  final String zone;
  final int slots;
  final Store store;
  final Record record;
  final InetSocketAddress address;
  final AtomicInteger running = new AtomicInteger();
  private final Http.Server server;
  private volatile boolean crashed;
  private final Map<String, Integer> versions = new LinkedHashMap<>();
  private final long bornMs = System.currentTimeMillis();
  private long seq;
  private boolean busy;
  private int beats;

  /** How long a plain request takes. */
  volatile long workMs = 30;

  /** How long an event of an item takes. */
  volatile long eventMs = 25;

  /** How many events an item has. */
  volatile int events = 26;

  Sampler(
      String id, String service, String zone, int slots, List<String> models, Store s, Record r)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.store = s;
    this.record = r;
    models.forEach(model -> versions.put(model, 1));
    server = Http.serve(this::handle);
    address = server.address();
    Thread.ofVirtual().start(this::beat);
  }

  private void beat() {
    try {
      while (!crashed) {
        store.put("servers", id, entry());
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends all connections and heartbeats at once; the entry is removed after three heartbeats. */
  void crash() {
    if (!crashed) {
      crashed = true;
      server.close();
      Thread.ofVirtual().start(this::expire);
    }
  }

  private void expire() {
    try {
      Thread.sleep(3 * HEARTBEAT_MS);
      store.remove("servers", id);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> entry() {
    Map<String, Object> entry =
        Json.of(
            "service", service,
            "address", "127.0.0.1:" + address.getPort(),
            "zone", zone,
            "version", "v1",
            "slots", slots,
            "state", "ready",
            "cold_left_ms", 0,
            "stage", "both",
            "models", models(),
            "born", bornMs);
    entry.put("seq", ++beats);
    return entry;
  }

  private List<Object> models() {
    List<Object> models = new ArrayList<>();
    versions.forEach(
        (name, version) -> models.add(Json.of("name", name, "version", version, "adapters", List.of())));
    return models;
  }

  synchronized int version(String model) {
    return versions.getOrDefault(model, 1);
  }

  private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
    String expected = request.header("x-expect-instance");
    if (expected != null && !expected.equals(id)) {
      connection.respond(421, Map.of("X-Not-Executed", "1"), new byte[0]);
      return true;
    }
    switch (request.path()) {
      case "/-/report" -> connection.respondJson(200, report());
      case "/-/order" -> connection.respondJson(order(Json.object(Json.parse(request.text()))), Json.of());
      case "/health" -> connection.respond(200, Map.of("X-Instance-Id", id), new byte[0]);
      default -> {
        return run(request, connection);
      }
    }
    return true;
  }

  private synchronized Map<String, Object> report() {
    return Json.of(
        "stage", "both", "models", models(), "busy", busy, "seq", seq, "waiting", 0,
        "running", running.get(), "kv_used", 0, "kv_total", 112917, "handles", 0);
  }

  /** Called with each order that arrives, in order of arrival. */
  void onOrder(Map<String, Object> order, int status) {
    record.line(
        "sampler %s: order from %s fence %s, %s to version %s: %d",
        id, order.get("holder"), order.get("fence"), order.get("model"), order.get("version"), status);
  }

  private synchronized int order(Map<String, Object> order) {
    String model = (String) order.get("model");
    int version = (int) Json.number(order.get("version"), 0);
    int status;
    if (versions.getOrDefault(model, 0) == version) {
      status = 200;
    } else if (busy || Json.number(order.get("expected_rev"), seq) != seq) {
      status = 409;
    } else {
      status = 202;
      seq++;
      busy = true;
      Thread.ofVirtual().start(() -> load(model, version));
    }
    onOrder(order, status);
    return status;
  }

  private void load(String model, int version) {
    try {
      Thread.sleep(LOAD_MS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      versions.put(model, version);
      busy = false;
    }
  }

  private boolean run(Http.Message request, Http.Connection connection) throws Exception {
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      connection.respond(
          503, Map.of("X-Not-Executed", "1", "X-Instance-Load", slots + ",0," + slots), new byte[0]);
      return true;
    }
    try {
      return request.header("x-model") == null
          ? runPlain(request, connection)
          : runItem(request, connection);
    } finally {
      running.decrementAndGet();
    }
  }

  Map<String, Object> headers(Http.Message request) {
    Map<String, Object> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", request.header("x-request-id"));
    headers.put("X-Response-Seal", "seal-" + request.header("x-request-id"));
    headers.put("X-Instance-Load", running.get() + ",0," + slots);
    return headers;
  }

  /** Runs a plain request; returns whether the connection stays open. */
  boolean runPlain(Http.Message request, Http.Connection connection) throws Exception {
    Thread.sleep(workMs);
    connection.respond(200, headers(request), ("answer to " + request.target()).getBytes());
    return true;
  }

  /** Runs an item; returns whether the connection stays open. */
  boolean runItem(Http.Message request, Http.Connection connection) throws Exception {
    String last = request.header("last-event-id");
    record.line(
        "sampler %s: runs item %s after event %s", id, request.header("x-request-id"),
        last == null ? "0" : last);
    Map<String, Object> headers = headers(request);
    headers.put("X-Weight-Versions", version(request.header("x-model")));
    headers.put("Content-Type", "text/event-stream");
    headers.put("Transfer-Encoding", "chunked");
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    connection.write(head + "\r\n");
    for (int n = last == null ? 1 : Integer.parseInt(last) + 1; n <= events; n++) {
      Thread.sleep(eventMs);
      String event = "id: " + n + "\ndata: " + piece(request.header("x-request-id"), n) + "\n\n";
      connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    connection.write("0\r\n\r\n");
    return true;
  }

  static String piece(String item, int number) {
    return item + "/" + number;
  }
}
