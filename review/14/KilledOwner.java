import java.nio.file.Path;

/**
 * Case 14: the node that owns a step of some thousand samples is killed when most of them are
 * listed, and is restarted. Without the disruption it isn't killed.
 */
final class KilledOwner {
  private static final int SAMPLES = 2_700;
  private static final int KILL_AT = 2_300;

  /** How long the trainer waits for all of its samples. */
  private static final double TIME_LIMIT_S = 60;

  private KilledOwner() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(record, 8, 2)) {
      result = run(record, deployment, trouble);
      record.say("result " + result);
    }
    // The runtime itself exits with 1 if it can't run the program.
    System.exit(result == 1 ? 10 : result);
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    deployment.models.forEach(
        sampler -> {
          sampler.events = 26;
          sampler.eventMs = 18;
        });
    NodeProcess first = deployment.addNode("front-svea-a-1", "svea-a");
    NodeProcess second = deployment.addNode("front-svea-b-1", "svea-b");
    if (!first.awaitReady(15_000) || !second.awaitReady(15_000)) {
      record.say("the nodes didn't start");
      return 2;
    }
    int stepSize = SAMPLES;
    boolean killed = !trouble;
    long start = System.nanoTime();
    int read = 0;
    for (int step = 0; read < SAMPLES; step++) {
      String batch = "step" + step;
      int items = Math.min(stepSize, SAMPLES - read);
      byte[] body = Deployment.submission(batch, items, 600, 1);
      Client.Response accepted = deployment.submit(first, batch, body, 6_000);
      if (accepted.status() != 202) {
        record.say("submission of " + body.length + " bytes: " + accepted.status() + " " + accepted.failure());
        return 2;
      }
      if (step == 0) {
        record.say("step of " + items + " samples accepted, " + body.length + " bytes");
      }
      int listed = 0;
      for (int k = 0; listed < items; k++) {
        // As trainers do, it reads at different nodes.
        NodeProcess node = k % 2 == 0 ? second : first;
        Client.Response response = deployment.read(node, batch, listed, 1_000, 3_000);
        int next = Deployment.next(response);
        if (next / 1_000 > listed / 1_000) {
          record.say("listed " + next + ", begun " + deployment.tracker.begun());
        }
        listed = Math.max(listed, next);
        if (!killed && listed >= KILL_AT) {
          killed = true;
          first.kill();
          record.say("killed the owner, " + listed + " listed");
          Thread.sleep(300);
          first.start();
        }
        if ((System.nanoTime() - start) / 1e9 > TIME_LIMIT_S) {
          return judge(record, deployment, batch, items, read + listed, start);
        }
      }
      read += listed;
      Client.call("DELETE", second.front, "/-/lots/" + batch, Deployment.HOST, null, null, 3_000);
    }
    record.say("all " + read + " samples read");
    return 0;
  }

  /** The step has run out of time: the rule LOST of batch submissions, as written. */
  private static int judge(
      Record record, Deployment deployment, String batch, int items, int read, long start) {
    int stranded = 0;
    for (int i = 0; i < items; i++) {
      String itemId = Deployment.itemId(batch, i);
      if (!deployment.tracker.isFinished(itemId) && deployment.tracker.idleSeconds(itemId, start) >= 5) {
        stranded++;
      }
    }
    int slots = deployment.models.size() * 12;
    int running = deployment.tracker.running();
    record.say(
        "the step ran out of time: read " + read + ", begun " + deployment.tracker.begun() + ", not finished and at no sampler for 5 s: "
            + stranded + ", samplers run " + running + " of " + slots);
    for (NodeProcess node : deployment.nodes) {
      Client.Response plain = deployment.plain(node, "plain-" + node.id(), new byte[600], 1_500);
      record.say(node.id() + ": process alive " + node.isAlive() + ", ready " + node.isReady() + ", plain request " + plain.status() + " " + plain.failure());
    }
    boolean broken = stranded > 0 && deployment.tracker.begun() > 0 && running < slots / 2;
    return broken ? 1 : 0;
  }
}
