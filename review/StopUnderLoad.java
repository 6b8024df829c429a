import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST around planned work: consumers send requests on kept connections while the node gets
 * SIGTERM. No request that the node passed on to a sampler may end without an answer.
 */
final class StopUnderLoad extends Case {
  private static final int CONSUMERS = 6;
  private static final long MAX_PAUSE_MS = 16;
  private static final long GRACE_MS = 8_000;

  /** Requests that reached a sampler, with the time of arrival. */
  private final Map<String, Long> passedOn = new ConcurrentHashMap<>();

  private final List<String> cut = new ArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile boolean ended;
  private volatile long termAtMs = Long.MAX_VALUE;

  public static void main(String[] arguments) {
    run(arguments, new StopUnderLoad());
  }

  @Override
  boolean play() throws Exception {
    putManifest(7);
    for (int i = 0; i < 3; i++) {
      new Sampler("i-lookup-" + i, LOOKUP, "zone-" + "abc".charAt(i), 6, List.of(), store, record) {
        @Override
        boolean runPlain(Http.Message request, Http.Connection connection) throws Exception {
          passedOn.put(request.header("x-request-id"), record.nowMs());
          return super.runPlain(request, connection);
        }
      };
    }
    Node first = addNode("front-a-1", "zone-a");
    Node second = addNode("front-b-1", "zone-b");
    first.awaitReady();
    second.awaitReady();
    Thread balancer = Thread.ofVirtual().start(() -> balance(first, second));
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      consumers.add(Thread.ofVirtual().start(() -> consume(number)));
    }
    Thread.sleep(3_000);
    if (trouble) {
      termAtMs = record.nowMs();
      first.signal("TERM");
    }
    Thread.sleep(GRACE_MS + 1_500);
    record.line("node %s: %s", first.id, first.isAlive() ? "runs" : "has ended");
    ended = true;
    for (Thread consumer : consumers) {
      consumer.join();
    }
    balancer.join();
    record.tell(
        "answered %d, refused %d, passed on to a sampler and closed without an answer %d",
        answered.get(), refused.get(), cut.size());
    cut.forEach(record::line);
    return cut.isEmpty();
  }

  /** Where the platform sends new connections. */
  private volatile Node target;

  /** Asks the nodes each second whether they are ready, as the platform does. */
  private void balance(Node first, Node second) {
    int missed = 0;
    target = first;
    try {
      while (!ended) {
        missed = first.isReady() ? 0 : missed + 1;
        Node chosen = missed >= 2 ? second : first;
        if (chosen != target) {
          record.line("platform: new connections go to node %s", chosen.id);
        }
        target = chosen;
        Thread.sleep(1_000);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void consume(int number) {
    Http.Connection connection = null;
    Node node = null;
    try {
      for (int n = 0; !ended; n++) {
        Thread.sleep(ThreadLocalRandom.current().nextLong(1, MAX_PAUSE_MS));
        String id = String.format("c%d-%06d", number, n);
        long sentAtMs = record.nowMs();
        try {
          if (connection == null) {
            node = target == null ? nodes.get(0) : target;
            connection = Http.Connection.open(node.front, 1_000);
            connection.socket.setSoTimeout(3_000);
          }
          Map<String, Object> headers = new HashMap<>();
          headers.put("Host", HOST);
          headers.put("X-Request-Id", id);
          headers.put("X-Deadline-Ms", "1500");
          connection.request("POST", "/lohu930/" + id, headers, ("scan " + id).getBytes());
          Http.Message answer = connection.read();
          if (answer == null) {
            throw new IOException("closed");
          }
          (answer.status() == 200 ? answered : refused).incrementAndGet();
          if ("close".equalsIgnoreCase(answer.header("connection"))) {
            connection.close();
            connection = null;
          }
        } catch (IOException e) {
          onClosed(id, node, sentAtMs, e);
          if (connection != null) {
            connection.close();
          }
          connection = null;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void onClosed(String id, Node node, long sentAtMs, IOException failure) {
    Long reachedAtMs = passedOn.get(id);
    long nowMs = record.nowMs();
    record.line(
        "consumer: request %s to node %s ended without an answer after %d ms (%s); %s",
        id, node.id, nowMs - sentAtMs, failure.getMessage(),
        reachedAtMs == null ? "it reached no sampler" : "a sampler ran it");
    if (reachedAtMs != null) {
      synchronized (cut) {
        cut.add(
            String.format(
                "cut: request %s, sent %d ms after SIGTERM, at a sampler %d ms later, cut %d ms"
                    + " after SIGTERM, of its 1500 ms %d were used",
                id, sentAtMs - termAtMs, reachedAtMs - sentAtMs, nowMs - termAtMs,
                nowMs - sentAtMs));
      }
    }
  }
}
