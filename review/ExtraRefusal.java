import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * MIXED in batches: a sampler answers one item with 422 and sends that answer a second time, late,
 * where the answer to the next item on the connection is due. No other item may be listed as
 * errored, since no sampler answered 422 to it.
 */
final class ExtraRefusal extends Case {
  private static final int ITEMS = 48;
  private static final String IMPOSSIBLE = "item-020";

  /** Ids of the items that a sampler answered with 422 of their own. */
  private final Set<String> impossible = ConcurrentHashMap.newKeySet();

  /** Ids of the items whose run a sampler began. */
  private final Set<String> begun = ConcurrentHashMap.newKeySet();

  public static void main(String[] arguments) {
    run(arguments, new ExtraRefusal());
  }

  private final class FaultySampler extends Sampler {
    FaultySampler(String id, String zone) throws Exception {
      super(id, MODELS, zone, 12, List.of(MODEL, MODEL_2), ExtraRefusal.this.store, ExtraRefusal.this.record);
    }

    @Override
    boolean runItem(Http.Message request, Http.Connection connection) throws Exception {
      String item = request.header("x-request-id");
      begun.add(item);
      if (!item.equals(IMPOSSIBLE)) {
        return super.runItem(request, connection);
      }
      Thread.sleep(eventMs);
      impossible.add(item);
      record.line("sampler %s: answers 422 to item %s", id, item);
      connection.respond(422, headers(request), new byte[0]);
      running.decrementAndGet();
      Http.Message next;
      try {
        next = connection.read();
      } finally {
        running.incrementAndGet();
      }
      if (next == null) {
        return false;
      }
      if (trouble) {
        record.line(
            "sampler %s: sends the answer to item %s once more, where that to %s %s is due",
            id, item, next.first(), next.header("x-request-id"));
        connection.respond(422, headers(request), new byte[0]);
      }
      return runItem(next, connection);
    }
  }

  @Override
  boolean play() throws Exception {
    putManifest(7);
    for (int i = 0; i < 3; i++) {
      new FaultySampler("i-model-" + i, "zone-" + "abc".charAt(i));
    }
    Node node = addNode("front-a-1", "zone-a");
    node.awaitReady();
    Thread.sleep(1_500);
    List<String> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(String.format("item-%03d", i));
    }
    if (submit(node, "batch-1", submission(MODEL, 0, items)) != 202) {
      throw new IllegalStateException("the batch was not accepted");
    }
    Set<String> listed = new HashSet<>();
    int wrong = 0;
    long endMs = record.nowMs() + 20_000;
    int next = 0;
    while (listed.size() < ITEMS && record.nowMs() < endMs) {
      Map<String, Object> page = results(node, "batch-1", next);
      if (page == null) {
        continue;
      }
      for (Object entry : Json.list(page.get("results"))) {
        Map<String, Object> result = Json.object(entry);
        String item = (String) result.get("id");
        listed.add(item);
        record.line("trainer: reads %s: %s", item, result.get("state"));
        boolean completed = "completed".equals(result.get("state"));
        if (!completed && !impossible.contains(item)) {
          record.tell(
              "item %s is listed as errored; no sampler has answered 422 or 500 to it, one %s it",
              item, begun.contains(item) ? "ran" : "never got");
          wrong++;
        }
        if (completed && !whole(item, 26).equals(result.get("output"))) {
          record.tell("item %s is listed as completed with another text", item);
          wrong++;
        }
      }
      next = (int) Json.number(page.get("next"), next);
    }
    record.tell("listed %d of %d items, wrong %d", listed.size(), ITEMS, wrong);
    return wrong == 0;
  }

  private static String whole(String item, int events) {
    StringBuilder text = new StringBuilder();
    for (int n = 1; n <= events; n++) {
      text.append(n == 1 ? "" : "\n").append(Sampler.piece(item, n));
    }
    return text.toString();
  }
}
