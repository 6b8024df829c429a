import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/**
 * A small deployment: nodes of the project as processes, and stand-ins for the store, the samplers
 * of a model and of a plain service, and their heartbeats.
 */
final class Deployment implements AutoCloseable, SamplerSim.Listener {
  static final String HOST = "ficu95.example";
  static final String MODEL = "daka51";
  static final String MODEL_SERVICE = "huvo11a";
  static final String PLAIN_SERVICE = "wuno96b";
  static final String BATCH_PREFIX = "/pufi791/";
  static final String PLAIN_PREFIX = "/lohu930/";
  private static final long START_TIMEOUT_MS = 60_000;

  /** A run of a request or an item on a sampler; the end is -1 while it runs. */
  static final class Run {
    final String samplerId;
    final String requestId;
    final long beginMs;
    volatile long endMs = -1;
    volatile boolean complete;

    Run(String samplerId, String requestId, long beginMs) {
      this.samplerId = samplerId;
      this.requestId = requestId;
      this.beginMs = beginMs;
    }
  }

  private final Path root;
  private final Path directory;
  final Record record;
  final StoreSim store;
  final List<NodeProc> nodes = new CopyOnWriteArrayList<>();
  final List<SamplerSim> samplers = new ArrayList<>();
  final List<Run> runs = new CopyOnWriteArrayList<>();

  /** The time in milliseconds until which a sampler's heartbeats don't reach the store, by id. */
  final Map<String, Long> noBeatUntilMs = new ConcurrentHashMap<>();

  private volatile boolean closed;

  Deployment(Path root, Record record) throws IOException {
    this.root = root;
    this.record = record;
    this.directory = Files.createTempDirectory("review");
    this.store = new StoreSim(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
  }

  /** Starts samplers, with one in each zone in turn. */
  void addSamplers(String service, String model, int count, int slots, long eventGapMs)
      throws IOException {
    for (int i = 0; i < count; i++) {
      String id = "i-" + service + "-" + (i + 1);
      String zone = "zone-" + (char) ('a' + i % 2);
      SamplerSim sampler = new SamplerSim(id, service, zone, slots, model, eventGapMs, this);
      samplers.add(sampler);
      Thread.ofVirtual().start(() -> beat(sampler));
    }
  }

  private void beat(SamplerSim sampler) {
    while (!closed) {
      if (record.nowMs() >= noBeatUntilMs.getOrDefault(sampler.id(), 0L)) {
        store.beat(sampler.id(), sampler.entry());
        StoreSim.sleep(StoreSim.HEARTBEAT_MS);
      } else {
        StoreSim.sleep(10);
      }
    }
  }

  static Map<String, Object> plainRoute(String prefix, String type, int timeoutMs) {
    Map<String, Object> plain = new LinkedHashMap<>();
    plain.put("name", "r-" + prefix.replace("/", ""));
    plain.put("host", HOST);
    plain.put("prefix", prefix);
    plain.put("route_type", type);
    plain.put("timeout_ms", timeoutMs);
    plain.put("slo_ms", 184);
    plain.put("priority", 2);
    plain.put("service", PLAIN_SERVICE);
    plain.put("attempts", 2);
    return plain;
  }

  /** Writes a manifest with the usual routes and further ones. */
  void putManifest(int version, List<Map<String, Object>> more) {
    Map<String, Object> batch = new LinkedHashMap<>();
    batch.put("name", "r-batch");
    batch.put("host", HOST);
    batch.put("prefix", BATCH_PREFIX);
    batch.put("route_type", "rollout");
    batch.put("timeout_ms", 10_000);
    batch.put("slo_ms", 500);
    batch.put("priority", 0);
    batch.put("service", MODEL_SERVICE);
    batch.put("attempts", 3);
    batch.put("max_queue_s", 40.0);
    batch.put("due_ms", 7_500);
    batch.put("single_version", false);
    batch.put("sticky", true);
    batch.put("resumable", true);
    Map<String, Object> manifest = new LinkedHashMap<>();
    manifest.put("version", version);
    List<Map<String, Object>> routes = new ArrayList<>(more);
    routes.add(plainRoute(PLAIN_PREFIX, "safe", 1_500));
    routes.add(batch);
    manifest.put("routes", routes);
    manifest.put(
        "services",
        List.of(
            Map.of(
                "name", MODEL_SERVICE, "health_path", "/health", "max_conns", 150,
                "protocol", "h1", "tls", false,
                "engine", Map.of("slots", 4, "models", List.of(Map.of("name", MODEL)))),
            Map.of(
                "name", PLAIN_SERVICE, "health_path", "/health", "max_conns", 96,
                "protocol", "h1", "tls", false)));
    manifest.put(
        "limits",
        Map.of(
            "header_bytes", 16_384, "body_bytes", 33_554_432, "header_timeout_ms", 3_000,
            "idle_timeout_ms", 15_000));
    store.put("op", "config", Json.write(manifest));
    record.add("manifest %d written", version);
  }

  /** Writes the manifest and starts the nodes; returns whether all are ready. */
  boolean start(int nodeCount) throws IOException {
    putManifest(7, List.of());
    for (int i = 0; i < nodeCount; i++) {
      addNode();
    }
    boolean ready = await(START_TIMEOUT_MS, () -> nodes.stream().allMatch(NodeProc::isReady));
    record.add("nodes ready: %s", ready);
    // All nodes have seen the samplers and each other some heartbeats later.
    StoreSim.sleep(3_000);
    return ready;
  }

  /** Starts a further node, without waiting until it is ready. */
  NodeProc addNode() throws IOException {
    int number = nodes.size() + 1;
    String zone = "zone-" + (char) ('a' + number % 2);
    NodeProc node = new NodeProc(root, directory, "node-" + number, zone, store.address());
    nodes.add(node);
    node.start();
    return node;
  }

  static boolean await(long timeoutMs, BooleanSupplier condition) {
    long end = System.nanoTime() + timeoutMs * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      StoreSim.sleep(50);
    }
    return true;
  }

  @Override
  public void onBegin(String samplerId, String requestId) {
    Run run = new Run(samplerId, requestId, record.nowMs());
    runs.add(run);
    record.add("sampler %s begins %s", samplerId, requestId);
  }

  @Override
  public void onEnd(String samplerId, String requestId, boolean complete) {
    for (Run run : runs) {
      if (run.endMs < 0
          && run.samplerId.equals(samplerId)
          && run.requestId.equals(requestId)) {
        run.complete = complete;
        run.endMs = record.nowMs();
        break;
      }
    }
    record.add("sampler %s ends %s, complete: %s", samplerId, requestId, complete);
  }

  /** Returns the body of a submission with groups of items of one length. */
  static byte[] submission(String batchId, int groups, int size, int events) {
    List<Object> items = new ArrayList<>();
    for (int group = 0; group < groups; group++) {
      for (int i = 0; i < size; i++) {
        String id = itemId(batchId, items.size());
        Map<String, Object> headers = new LinkedHashMap<>();
        headers.put("X-Model", MODEL);
        headers.put("X-Token-Count", "1016," + events * SamplerSim.TOKENS_PER_EVENT);
        headers.put("X-Prompt-Prefix", "9c2e" + group + ":1000," + (1_000 + items.size()) + ":16");
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("id", id);
        item.put("path", BATCH_PREFIX + "3/" + id);
        item.put("headers", headers);
        item.put(
            "body",
            Base64.getEncoder().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
        item.put("tokens", 1_016 + events * SamplerSim.TOKENS_PER_EVENT);
        item.put("group", "g" + group);
        items.add(item);
      }
    }
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("step", 0);
    json.put("model", MODEL);
    json.put("min_version", 1);
    json.put("target_groups", groups);
    json.put("requests", items);
    return Json.write(json).getBytes(StandardCharsets.UTF_8);
  }

  static String itemId(String batchId, int index) {
    return batchId + String.format("%04x", index);
  }

  /** Sends a call of a consumer; returns the status, or 0 if there was no answer. */
  int send(NodeProc node, String method, String target, String id, byte[] body, int timeoutMs) {
    Map<String, String> headers = new TreeMap<>();
    headers.put("Host", HOST);
    if (id != null) {
      headers.put("X-Request-Id", id);
      headers.put("X-Deadline-Ms", Integer.toString(timeoutMs));
    }
    int status = 0;
    String reason = "";
    try {
      Calls.Answer answer =
          Calls.call(node.callerPort(), method, target, headers, body, timeoutMs);
      status = answer.status();
      reason = status < 400 ? "" : answer.text();
    } catch (IOException e) {
      reason = e.toString();
    }
    record.add("%s %s %s: %d %s", node.id(), method, target, status, reason);
    return status;
  }

  /** Submits a batch; a refusal is followed by an attempt at the next node. */
  boolean submit(int firstNode, String batchId, byte[] body) {
    for (int attempt = 0; attempt < 2 * nodes.size(); attempt++) {
      NodeProc node = nodes.get((firstNode + attempt) % nodes.size());
      if (send(node, "POST", BATCH_PREFIX + batchId, batchId, body, 6_000) == 202) {
        return true;
      }
      StoreSim.sleep(300);
    }
    return false;
  }

  /** Reads the number of listed results of a batch; -1 if it can't be read. */
  int listed(NodeProc node, String batchId) {
    int listed = 0;
    try {
      while (true) {
        Calls.Answer answer =
            Calls.call(
                node.callerPort(),
                "GET",
                "/-/lots/" + batchId + "?after=" + listed,
                Map.of("Host", HOST),
                new byte[0],
                3_000);
        if (answer.status() != 200) {
          record.add("%s read %s: %d %s", node.id(), batchId, answer.status(), answer.text());
          return -1;
        }
        int next = ((Long) Json.object(answer.text()).get("next")).intValue();
        if (next == listed) {
          return listed;
        }
        listed = next;
      }
    } catch (IOException e) {
      record.add("%s read %s: %s", node.id(), batchId, e);
      return -1;
    }
  }

  private void killNodes() {
    for (NodeProc node : nodes) {
      try {
        node.close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    killNodes();
    samplers.forEach(SamplerSim::close);
    store.close();
  }
}
