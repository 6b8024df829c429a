import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in for the platform's metadata store: rows in tables, with transactions and feeds. An
 * answer takes 4 ms. Entries of samplers are removed after three intervals without a heartbeat.
 */
final class StoreSim implements AutoCloseable {
  static final long HEARTBEAT_MS = 1_200;
  private static final long ANSWER_MS = 4;
  private static final int MAX_CALL_BYTES = 1_048_576;
  private static final int MAX_ROWS = 500;
  private static final int MAX_PAGE_BYTES = 1_000_000;

  private record Key(String table, String part, String key) {}

  private static final class Row {
    final Key key;
    String value;
    long ver;

    Row(Key key) {
      this.key = key;
    }
  }

  private final HttpServer server;
  private final Record record;
  private final Map<Key, Row> rows = new HashMap<>();
  private final Map<String, Long> newestByTable = new HashMap<>();
  private final Map<String, Long> beats = new HashMap<>();
  private long ver;
  private long historyFloor;
  private boolean down;
  private boolean deaf;
  private int slowFactor = 1;
  private volatile boolean closed;

  StoreSim(Record record) throws IOException {
    this.record = record;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    Thread.ofVirtual().start(this::expireEntries);
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Makes the store unavailable without any answer, or available again. */
  synchronized void setDown(boolean isDown) {
    down = isDown;
    record.add("store: %s", isDown ? "down, silent" : "available again");
    notifyAll();
  }

  synchronized boolean isDown() {
    return down;
  }

  /** Multiplies the time of all answers. */
  synchronized void setSlow(int factor) {
    slowFactor = factor;
    record.add("store: answers take %d times as long", factor);
  }

  /** Lets the feeds hear nothing until {@link #forgetHistory}. */
  synchronized void setDeaf() {
    deaf = true;
    record.add("store: feeds hear nothing");
  }

  /** Drops the history and ends the open feeds without an answer. */
  synchronized void forgetHistory() {
    deaf = false;
    historyFloor = ver;
    record.add("store: history up to version %d dropped, feeds cut", ver);
    notifyAll();
  }

  /** Writes a row, as the operator does. */
  synchronized void put(String table, String key, String json) {
    write(new Key(table, "", key), base64(json));
  }

  /**
   * A heartbeat of a sampler. Its row changes only if the entry does.
   *
   * @return false while the store is down
   */
  synchronized boolean beat(String id, String json) {
    if (down) {
      return false;
    }
    beats.put(id, System.nanoTime());
    Key key = new Key("servers", "", id);
    Row row = rows.get(key);
    String value = base64(json);
    if (row == null || !Objects.equals(row.value, value)) {
      write(key, value);
      record.add("store: entry of sampler %s written at version %d", id, ver);
    }
    return true;
  }

  /** Removes the entry of a sampler that leaves. */
  synchronized void removeEntry(String id) {
    beats.remove(id);
    write(new Key("servers", "", id), null);
  }

  private static String base64(String json) {
    return Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
  }

  private void write(Key key, String value) {
    Row row = rows.computeIfAbsent(key, Row::new);
    row.value = value;
    row.ver = ++ver;
    newestByTable.put(key.table(), ver);
    notifyAll();
  }

  private void expireEntries() {
    while (!closed) {
      synchronized (this) {
        long now = System.nanoTime();
        for (String id : List.copyOf(beats.keySet())) {
          if (now - beats.get(id) > 3 * HEARTBEAT_MS * 1_000_000) {
            beats.remove(id);
            write(new Key("servers", "", id), null);
            record.add("store: entry of sampler %s expired, version %d", id, ver);
          }
        }
      }
      sleep(50);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      synchronized (this) {
        if (down) {
          awaitAvailable();
          return;
        }
      }
      sleep(ANSWER_MS * slowFactor);
      Answer answer =
          switch (path) {
            case "/-/rows-tx" -> transact(body);
            case "/-/rows-get" -> get(query);
            case "/-/rows-parts" -> parts(query);
            case "/-/rows-feed" -> feed(query);
            default -> new Answer(404, Map.of());
          };
      if (answer == null) {
        return;
      }
      synchronized (this) {
        if (down) {
          awaitAvailable();
          return;
        }
      }
      byte[] bytes = Json.write(answer.json()).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  /** Waits without an answer; the connection is closed when the store is available again. */
  private void awaitAvailable() {
    while (down && !closed) {
      try {
        wait(500);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private record Answer(int status, Map<String, Object> json) {}

  private Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("ver", ver);
    json.put("now_ms", System.nanoTime() / 1_000_000);
    return json;
  }

  private static Map<String, Object> toJson(Row row) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("table", row.key.table());
    json.put("part", row.key.part());
    json.put("key", row.key.key());
    if (row.value == null) {
      json.put("deleted", true);
    } else {
      json.put("value", row.value);
    }
    json.put("ver", row.ver);
    return json;
  }

  private static Key key(Map<String, Object> json) {
    return new Key(
        (String) json.get("table"), (String) json.get("part"), (String) json.get("key"));
  }

  private synchronized Answer transact(byte[] body) {
    if (body.length > MAX_CALL_BYTES) {
      return new Answer(413, Map.of());
    }
    Map<String, Object> call = Json.object(new String(body, StandardCharsets.UTF_8));
    boolean holds = true;
    List<Object> current = new ArrayList<>();
    for (Map<String, Object> condition : Json.objects(call, "expected_rev")) {
      Row row = rows.get(key(condition));
      long rowVer = row == null || row.value == null ? 0 : row.ver;
      if (rowVer != 0) {
        current.add(toJson(row));
      }
      holds &= rowVer == (Long) condition.get("ver");
    }
    Map<String, Object> json;
    if (!holds) {
      json = json();
      json.put("rows", current);
      return new Answer(412, json);
    }
    ver++;
    for (Map<String, Object> put : Json.objects(call, "writes")) {
      Row row = rows.computeIfAbsent(key(put), Row::new);
      row.value = (String) put.get("value");
      row.ver = ver;
      newestByTable.put(row.key.table(), ver);
    }
    for (Map<String, Object> removal : Json.objects(call, "remove")) {
      Row row = rows.get(key(removal));
      if (row != null && row.value != null) {
        row.value = null;
        row.ver = ver;
        newestByTable.put(row.key.table(), ver);
      }
    }
    notifyAll();
    return new Answer(200, json());
  }

  private synchronized Answer get(Map<String, String> query) {
    TreeMap<String, Row> found = new TreeMap<>();
    String from = query.getOrDefault("from", "");
    for (Row row : rows.values()) {
      if (row.value != null
          && row.key.table().equals(query.get("table"))
          && row.key.part().equals(query.getOrDefault("part", ""))
          && row.key.key().compareTo(from) >= 0) {
        found.put(row.key.key(), row);
      }
    }
    int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    List<Object> page = new ArrayList<>();
    int bytes = 0;
    for (Row row : found.values()) {
      if (page.size() == limit || bytes + row.value.length() > MAX_PAGE_BYTES) {
        break;
      }
      bytes += row.value.length();
      page.add(toJson(row));
    }
    Map<String, Object> json = json();
    json.put("rows", page);
    json.put("has_more", page.size() < found.size());
    return new Answer(200, json);
  }

  private synchronized Answer parts(Map<String, String> query) {
    List<String> names =
        rows.values().stream()
            .filter(row -> row.value != null && row.key.table().equals(query.get("table")))
            .map(row -> row.key.part())
            .filter(part -> part.compareTo(query.getOrDefault("after", "")) > 0 || part.isEmpty())
            .distinct()
            .sorted()
            .limit(1_000)
            .toList();
    Map<String, Object> json = json();
    json.put("parts", names);
    json.put("has_more", names.size() == 1_000);
    return new Answer(200, json);
  }

  /** Returns null if the feed is cut. */
  private synchronized Answer feed(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    long deadline = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    boolean heardNothing = false;
    while (true) {
      if (heardNothing && !deaf) {
        return null;
      }
      heardNothing |= deaf;
      if (!deaf) {
        if (after < historyFloor) {
          return new Answer(410, json());
        }
        boolean hasChanged = newestByTable.getOrDefault(query.get("table"), 0L) > after;
        List<Row> changed =
            (hasChanged ? rows.values() : List.<Row>of()).stream()
                .filter(row -> row.ver > after && row.key.table().equals(query.get("table")))
                .sorted(Comparator.comparingLong(row -> row.ver))
                .toList();
        if (!changed.isEmpty() || System.nanoTime() >= deadline) {
          Map<String, Object> json = json();
          json.put("rows", changed.stream().map(StoreSim::toJson).toList());
          return new Answer(200, json);
        }
      }
      if (closed) {
        return null;
      }
      try {
        wait(Math.clamp((deadline - System.nanoTime()) / 1_000_000, 1, 1_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int split = pair.indexOf('=');
        query.put(
            pair.substring(0, split),
            URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  @Override
  public void close() {
    closed = true;
    synchronized (this) {
      notifyAll();
    }
    server.stop(0);
  }
}
