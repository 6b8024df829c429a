import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * ONE: the node that gives the orders gets SIGTERM, and the process that takes over is killed and
 * restarted by the platform. No sampler may get orders of two nodes within the lease time.
 */
final class HandoverRestart extends Case {
  private static final long LEASE_MS = 3_000;

  /** Between two versions of a trainer that is behind its schedule of one step each 4 s. */
  private static final long VERSION_INTERVAL_MS = 2_200;

  private record Order(String sampler, String holder, long fence, long atMs) {}

  private final List<Order> orders = new ArrayList<>();

  public static void main(String[] arguments) {
    run(arguments, new HandoverRestart());
  }

  @Override
  boolean play() throws Exception {
    putManifest(7);
    for (int i = 0; i < 8; i++) {
      new Sampler(
          "i-model-" + i, MODELS, "zone-" + "abc".charAt(i % 3), 12, List.of(MODEL, MODEL_2), store, record) {
        @Override
        void onOrder(Map<String, Object> order, int status) {
          super.onOrder(order, status);
          synchronized (orders) {
            orders.add(
                new Order(
                    id, (String) order.get("holder"), Json.number(order.get("fence"), -1), record.nowMs()));
          }
        }
      };
    }
    for (String zone : List.of("a", "b", "c")) {
      addNode("front-" + zone + "-1", "zone-" + zone);
    }
    for (Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(6_000);
    Thread trainer = Thread.ofVirtual().start(this::train);
    while (count() < 2) {
      Thread.sleep(5);
    }
    Node giver = node(last().holder());
    record.line("node %s has given the latest order", giver.id);
    if (trouble) {
      giver.signal("TERM");
      Node successor = giver;
      while (successor == giver) {
        Thread.sleep(10);
        successor = leaseHolder(giver);
      }
      record.line("node %s has written the lease", successor.id);
      Thread.sleep(100);
      successor.killAndRestart(200);
    }
    trainer.join();
    Thread.sleep(2_500);
    return judge();
  }

  private void train() {
    try {
      for (int version = 2; version <= 5; version++) {
        announce(MODEL, version);
        Thread.sleep(VERSION_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int count() {
    synchronized (orders) {
      return orders.size();
    }
  }

  private Order last() {
    synchronized (orders) {
      return orders.get(orders.size() - 1);
    }
  }

  private Node node(String id) {
    return nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
  }

  /** Returns the node that last wrote the lease row, which the platform's store sees. */
  private Node leaseHolder(Node otherwise) {
    for (Store.Row row : store.rows("control", "orders")) {
      if (row.key().key().equals("lease")) {
        Map<String, Object> lease = Json.object(Json.parse(row.text()));
        String holder = (String) lease.get("holder");
        if (!Boolean.TRUE.equals(lease.get("released"))) {
          return node(holder.substring(0, holder.indexOf('@')));
        }
      }
    }
    return otherwise;
  }

  private boolean judge() {
    Map<String, Order> latest = new HashMap<>();
    int turns = 0;
    synchronized (orders) {
      for (Order order : orders) {
        Order before = latest.put(order.sampler(), order);
        if (before != null
            && !before.holder().equals(order.holder())
            && order.atMs() - before.atMs() < LEASE_MS) {
          turns++;
          record.tell(
              "sampler %s: order of %s (fence %d) %d ms after one of %s (fence %d)",
              order.sampler(), order.holder(), order.fence(), order.atMs() - before.atMs(),
              before.holder(), before.fence());
        }
      }
      record.tell("orders %d, of two holders within %d ms %d", orders.size(), LEASE_MS, turns);
    }
    return turns == 0;
  }
}
