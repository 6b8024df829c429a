import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * LOST in batches: the store forgets its history while it is slow, so that all nodes read its rows
 * again; a batch is accepted meanwhile, and the machine that accepted it is removed for good. The
 * other nodes must go on with the batch.
 */
final class MissedOwner extends Case {
  private static final int ITEMS = 72;

  /** For how long the store tells watches nothing before it forgets its history; a second at most. */
  private static final long DEAF_MS = 250;

  /** The longest time for which the store may be slow. */
  private static final long MAX_SLOW_MS = 4_500;

  private static final long ATTEMPT_MS = 1_200;
  private static final long STEP_LIMIT_MS = 12_000;
  private static final long IDLE_LIMIT_MS = 5_000;

  /** The system is steady again this long after the last disruption has ended. */
  private static final long STABLE_MS = 3_000;

  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private final List<Long> tableReads = new ArrayList<>();
  private volatile long lastRunAtMs;

  public static void main(String[] arguments) {
    run(arguments, new MissedOwner());
  }

  @Override
  boolean play() throws Exception {
    putManifest(7);
    List<Sampler> samplers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Sampler sampler =
          new Sampler(
              "i-model-" + i, MODELS, "zone-" + "abc".charAt(i % 3), 12, List.of(MODEL, MODEL_2),
              store, record) {
            @Override
            boolean runItem(Http.Message request, Http.Connection connection) throws Exception {
              begun.add(request.header("x-request-id"));
              try {
                return super.runItem(request, connection);
              } finally {
                lastRunAtMs = record.nowMs();
              }
            }
          };
      sampler.eventMs = 50;
      samplers.add(sampler);
    }
    for (String zone : List.of("a", "b", "c")) {
      addNode("front-" + zone + "-1", "zone-" + zone);
    }
    for (Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(5_000);
    store.onCall =
        call -> {
          if (call.path().equals("/-/rows-parts") && "control".equals(call.query("table"))) {
            synchronized (tableReads) {
              tableReads.add(record.nowMs());
            }
          }
        };
    if (trouble) {
      store.slowdown = 60;
      record.line("store: its answers take 60 times as long");
      forgetHistory(record.nowMs());
    }
    long submittedAtMs = record.nowMs();
    List<String> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(String.format("item-%03d", i));
    }
    if (submit(nodes.get(0), "batch-1", submission(MODEL, 0, items)) != 202) {
      throw new IllegalStateException("the batch was not accepted");
    }
    if (trouble) {
      store.slowdown = 1;
      record.line("store: its answers take as long as usual");
    }
    Thread.sleep(700);
    if (trouble || "1".equals(System.getenv("KILL"))) {
      nodes.get(0).signal("KILL");
      record.line("machine %s is removed for good", nodes.get(0).id);
    }
    long steadyFromMs = record.nowMs() + STABLE_MS;
    int listed = 0;
    int last = -1;
    long idleMs = 0;
    long idleSinceMs = -1;
    while (record.nowMs() < submittedAtMs + STEP_LIMIT_MS && listed < ITEMS) {
      Map<String, Object> page = results(nodes.get(1), "batch-1", listed);
      if (page != null) {
        listed = (int) Json.number(page.get("next"), listed);
      }
      boolean working = samplers.stream().anyMatch(sampler -> sampler.running.get() > 0);
      long nowMs = record.nowMs();
      idleSinceMs = working ? -1 : idleSinceMs < 0 ? Math.max(lastRunAtMs, steadyFromMs) : idleSinceMs;
      idleMs = idleSinceMs < 0 ? idleMs : Math.max(idleMs, nowMs - idleSinceMs);
      if (listed != last) {
        record.line("trainer: %d of %d results read", listed, ITEMS);
        last = listed;
      }
    }
    record.tell(
        "listed %d of %d items %d ms after the submission; %d had begun; no sampler had one for %d ms of steady state",
        listed, ITEMS, record.nowMs() - submittedAtMs, begun.size(), idleMs);
    return listed == ITEMS || idleMs < IDLE_LIMIT_MS;
  }

  /**
   * Forgets the history until all nodes read the table again at about the same time. Ends before
   * the store has been slow for longer than it may.
   */
  private void forgetHistory(long slowSinceMs) throws InterruptedException {
    while (record.nowMs() - slowSinceMs < MAX_SLOW_MS - ATTEMPT_MS) {
      synchronized (tableReads) {
        tableReads.clear();
      }
      store.forgetHistory(DEAF_MS);
      record.line("store: has told watches nothing for %d ms and forgets its history", DEAF_MS);
      for (int i = 0; i < 80; i++) {
        Thread.sleep(5);
        synchronized (tableReads) {
          if (tableReads.size() >= nodes.size()) {
            long spreadMs = tableReads.get(nodes.size() - 1) - tableReads.get(0);
            record.line("store: all nodes read the table of owners again, within %d ms", spreadMs);
            if (spreadMs < 100) {
              return;
            }
            break;
          }
        }
      }
    }
  }
}
