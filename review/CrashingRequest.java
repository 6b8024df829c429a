import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * BUDGET: a request crashes each sampler that begins to run it, and comes again. Later than
 * stable_ms after the third crash, at most three of its retries may reach samplers.
 */
final class CrashingRequest extends Case {
  private static final long STABLE_MS = 3_000;
  private static final long BACK_AFTER_MS = 3_000;
  private static final long AGAIN_MS = 2_000;
  private static final int TIMES = 14;
  private static final int MAX_RETRIES = 3;
  private static final byte[] CRASHING = "pallet 0xdead".getBytes();

  private final AtomicInteger started = new AtomicInteger();
  private final List<Long> crashes = new ArrayList<>();
  private final List<String> lateRetries = new ArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] arguments) {
    run(arguments, new CrashingRequest());
  }

  private final class FragileSampler extends Sampler {
    FragileSampler(String zone) throws IOException {
      super(
          "i-lookup-" + started.incrementAndGet(), LOOKUP, zone, 6, List.of(),
          CrashingRequest.this.store, CrashingRequest.this.record);
    }

    @Override
    boolean runPlain(Http.Message request, Http.Connection connection) throws Exception {
      if (!trouble || !request.text().equals(new String(CRASHING))) {
        return super.runPlain(request, connection);
      }
      onCrash(request.header("x-request-id"));
      crash();
      Thread.ofVirtual().start(this::comeBack);
      return false;
    }

    private void onCrash(String request) {
      synchronized (crashes) {
        long nowMs = record.nowMs();
        crashes.add(nowMs);
        record.line("sampler %s: crashes as it begins to run %s", id, request);
        if (crashes.size() > 3
            && nowMs > crashes.get(2) + STABLE_MS
            && !lateRetries.contains(request)) {
          lateRetries.add(request);
        }
      }
    }

    private void comeBack() {
      try {
        Thread.sleep(BACK_AFTER_MS);
        new FragileSampler(zone);
      } catch (IOException | InterruptedException e) {
        record.line("sampler %s: does not come back: %s", id, e);
      }
    }
  }

  @Override
  boolean play() throws Exception {
    putManifest(7);
    for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
      new FragileSampler(zone);
    }
    Node first = addNode("front-a-1", "zone-a");
    Node second = addNode("front-b-1", "zone-b");
    first.awaitReady();
    second.awaitReady();
    Thread.sleep(1_000);
    List<Thread> others = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      others.add(Thread.ofVirtual().start(() -> consume(nodes.get(number % 2), number)));
    }
    for (int n = 0; n < TIMES; n++) {
      int status = send(nodes.get(n % 2), "crash-" + n, CRASHING);
      record.line("consumer: request crash-%d to node %s: %d", n, nodes.get(n % 2).id, status);
      Thread.sleep(AGAIN_MS);
    }
    ended = true;
    for (Thread other : others) {
      other.join();
    }
    record.tell(
        "crashes %d; retries that reached samplers later than %d ms after the third crash %d;"
            + " other requests answered %d, failed %d",
        crashes.size(), STABLE_MS, lateRetries.size(), answered.get(), failed.get());
    return lateRetries.size() <= MAX_RETRIES;
  }

  /** Sends a request and returns the status of its answer, 0 if there is none. */
  private int send(Node node, String id, byte[] body) {
    Map<String, Object> headers = new HashMap<>();
    headers.put("Host", HOST);
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", "1500");
    String path = body == CRASHING ? "/lohu930/dead" : "/lohu930/" + id;
    try {
      return Http.call(node.front, "POST", path, headers, body, 2_000).status();
    } catch (IOException e) {
      return 0;
    }
  }

  private void consume(Node node, int number) {
    try {
      for (int n = 0; !ended; n++) {
        String id = String.format("c%d-%04d", number, n);
        int status = send(node, id, ("scan " + id).getBytes());
        if (status == 200) {
          answered.incrementAndGet();
        } else {
          failed.incrementAndGet();
          record.line("consumer: request %s to node %s: %d", id, node.id, status);
        }
        Thread.sleep(200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
