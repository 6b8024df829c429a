import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The platform's store as PROTOCOL.md describes it: rows, transactions and feeds, in memory. */
final class Store {
  /** The store's usual time for an answer. */
  private static final long USUAL_MS = 4;

  /** Names a row; ordered by table, part and key. */
  record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int order = table.compareTo(other.table);
      order = order != 0 ? order : part.compareTo(other.part);
      return order != 0 ? order : key.compareTo(other.key);
    }
  }

  /** A row, or the end of one if the value is null. */
  record Row(Key key, String value, long version) {
    String text() {
      return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }
  }

  /** Called after each change, with the row. */
  interface Observer {
    void onChange(Row row);
  }

  private final InetSocketAddress address;
  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final List<Observer> observers = new ArrayList<>();
  private long version = 1;
  private long droppedUpTo;
  private boolean deaf;

  /** The factor by which answers take longer than usual. */
  volatile double slowdown = 1;

  /** Called with each call when it takes effect. */
  volatile java.util.function.Consumer<Http.Message> onCall = call -> {};

  Store() throws IOException {
    address = Http.serve(this::handle).address();
  }

  InetSocketAddress address() {
    return address;
  }

  synchronized void observe(Observer observer) {
    observers.add(observer);
  }

  /** Writes a row as the operator or a sampler does. */
  synchronized void put(String table, String key, Object json) {
    version++;
    String value =
        Base64.getEncoder().encodeToString(Json.write(json).getBytes(StandardCharsets.UTF_8));
    change(new Row(new Key(table, "", key), value, version));
  }

  /** Removes a row as a sampler that has left does. */
  synchronized void remove(String table, String key) {
    version++;
    change(new Row(new Key(table, "", key), null, version));
  }

  /** Tells feeds nothing for a while, then discards the history, so that all feeds get 410. */
  void forgetHistory(long deafMs) throws InterruptedException {
    synchronized (this) {
      deaf = true;
    }
    Thread.sleep(deafMs);
    synchronized (this) {
      droppedUpTo = version;
      history.clear();
      deaf = false;
      notifyAll();
    }
  }

  synchronized Row row(String table, String part, String key) {
    return rows.get(new Key(table, part, key));
  }

  synchronized List<Row> rows(String table, String part) {
    return rows.values().stream()
        .filter(row -> row.key().table().equals(table) && row.key().part().equals(part))
        .toList();
  }

  private void change(Row row) {
    if (row.value() == null) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    history.add(row);
    notifyAll();
    observers.forEach(observer -> observer.onChange(row));
  }

  private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
    if (request.path().equals("/-/rows-feed")) {
      feed(request, connection);
      return true;
    }
    long halfMs = (long) (USUAL_MS * slowdown / 2);
    Thread.sleep(halfMs);
    Object[] answer;
    synchronized (this) {
      onCall.accept(request);
      answer =
          switch (request.path()) {
            case "/-/rows-get" -> get(request);
            case "/-/rows-parts" -> parts(request);
            case "/-/rows-tx" -> transact(Json.object(Json.parse(request.text())));
            default -> new Object[] {404, Json.of()};
          };
    }
    Thread.sleep(halfMs);
    connection.respondJson((int) answer[0], answer[1]);
    return true;
  }

  private Map<String, Object> answer() {
    return Json.of("ver", version, "now_ms", System.nanoTime() / 1_000_000);
  }

  private static Map<String, Object> encode(Row row) {
    Map<String, Object> json =
        Json.of(
            "table", row.key().table(),
            "part", row.key().part(),
            "key", row.key().key(),
            "ver", row.version());
    json.put(row.value() == null ? "deleted" : "value", row.value() == null ? true : row.value());
    return json;
  }

  private Object[] get(Http.Message request) {
    String from = request.query("from") == null ? "" : request.query("from");
    String to = request.query("to");
    int limit = request.query("limit") == null ? 500 : Integer.parseInt(request.query("limit"));
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows(request.query("table"), request.query("part"))) {
      String key = row.key().key();
      if (key.compareTo(from) >= 0 && (to == null || key.compareTo(to) < 0)) {
        more = found.size() >= Math.min(500, limit);
        if (more) {
          break;
        }
        found.add(encode(row));
      }
    }
    Map<String, Object> json = answer();
    json.put("rows", found);
    json.put("has_more", more);
    return new Object[] {200, json};
  }

  private Object[] parts(Http.Message request) {
    TreeSet<String> parts = new TreeSet<>();
    String after = request.query("after") == null ? "" : request.query("after");
    for (Key key : rows.keySet()) {
      if (key.table().equals(request.query("table"))
          && (after.isEmpty() || key.part().compareTo(after) > 0)) {
        parts.add(key.part());
      }
    }
    Map<String, Object> json = answer();
    json.put("parts", new ArrayList<Object>(parts));
    json.put("has_more", false);
    return new Object[] {200, json};
  }

  private static Key key(Object json) {
    Map<String, Object> map = Json.object(json);
    return new Key((String) map.get("table"), (String) map.get("part"), (String) map.get("key"));
  }

  private Object[] transact(Map<String, Object> call) {
    boolean holds = true;
    List<Object> current = new ArrayList<>();
    for (Object condition : Json.list(call.get("expected_rev"))) {
      Row row = rows.get(key(condition));
      holds &=
          Json.number(Json.object(condition).get("ver"), -1) == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(encode(row));
      }
    }
    Map<String, Object> json = answer();
    if (!holds) {
      json.put("rows", current);
      return new Object[] {412, json};
    }
    version++;
    for (Object write : Json.list(call.get("writes"))) {
      change(new Row(key(write), (String) Json.object(write).get("value"), version));
    }
    for (Object removal : Json.list(call.get("remove"))) {
      change(new Row(key(removal), null, version));
    }
    return new Object[] {200, answer()};
  }

  private void feed(Http.Message request, Http.Connection connection) throws Exception {
    Thread.sleep((long) (USUAL_MS * slowdown / 2));
    long after = Long.parseLong(request.query("after"));
    long endNanos = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
    int status = 200;
    Map<String, Object> json;
    synchronized (this) {
      List<Object> changed = changesAfter(request.query("table"), after);
      long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      while (deaf || (after >= droppedUpTo && changed.isEmpty() && leftMs > 0)) {
        wait(deaf ? 0 : leftMs);
        changed = changesAfter(request.query("table"), after);
        leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      }
      json = answer();
      if (after < droppedUpTo) {
        status = 410;
      } else {
        json.put("rows", changed);
      }
    }
    Thread.sleep((long) (USUAL_MS * slowdown / 2));
    connection.respondJson(status, json);
  }

  private List<Object> changesAfter(String table, long after) {
    List<Object> changed = new ArrayList<>();
    for (Row row : history) {
      if (row.version() > after && row.key().table().equals(table)) {
        changed.add(encode(row));
      }
    }
    return changed;
  }
}
