import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Case 12: the rollout route is moved to another service, and after that the sampler of the former
 * service is emptied and taken away. Without the disruption both stay.
 */
final class MovedRoute {
  private static final int SAMPLES = 80;
  private static final double MOVE_S = 1.0;

  /** Well over {@code config_ms}, 2 s, after the manifest. */
  private static final double DRAIN_S = 3.5;

  /** Over {@code drain_ms}, 2 s, after the report. */
  private static final double LEAVE_S = 6.0;

  /** The time limit of the trainer on the sheet. */
  private static final double TIME_LIMIT_S = 12;

  private MovedRoute() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(record, 7, 1, 2)) {
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
          sampler.eventMs = 36;
        });
    NodeProcess first = deployment.addNode("front-svea-a-1", "svea-a");
    NodeProcess second = deployment.addNode("front-svea-b-1", "svea-b");
    if (!first.awaitReady(15_000) || !second.awaitReady(15_000)) {
      record.say("the nodes didn't start");
      return 2;
    }
    Thread.sleep(4_000);
    SamplerStub former = deployment.models.get(0);
    long start = System.nanoTime();
    Client.Response accepted =
        deployment.submit(first, "step0", Deployment.submission("step0", SAMPLES, 600, 1), 6_000);
    if (accepted.status() != 202) {
      record.say("submission: " + accepted.status() + " " + accepted.failure());
      return 2;
    }
    record.say("step of " + SAMPLES + " samples accepted, of service " + Deployment.MODEL_SERVICE);
    int listed = 0;
    Set<String> done = new HashSet<>();
    for (int k = 0; listed < SAMPLES; k++) {
      double elapsed = (System.nanoTime() - start) / 1e9;
      if (elapsed > TIME_LIMIT_S) {
        return judge(record, deployment, listed, start);
      }
      if (trouble && elapsed >= MOVE_S && done.add("move")) {
        deployment.putManifest(2, Deployment.OTHER_MODEL_SERVICE);
        record.say("manifest 2 acknowledged: the route goes to " + Deployment.OTHER_MODEL_SERVICE);
      }
      if (trouble && elapsed >= DRAIN_S && done.add("drain")) {
        deployment.drain(former);
        record.say(former.id() + " reports draining, listed " + listed);
      }
      if (trouble && elapsed >= LEAVE_S && done.add("leave")) {
        deployment.leave(former);
        record.say(former.id() + " has left, listed " + listed);
      }
      NodeProcess node = k % 2 == 0 ? second : first;
      listed = Math.max(listed, Deployment.next(deployment.read(node, "step0", listed, 0, 3_000)));
      Thread.sleep(200);
    }
    record.say("all " + listed + " samples read");
    return 0;
  }

  /** The step has run out of time: the rule LOST of batch submissions, as written. */
  private static int judge(Record record, Deployment deployment, int listed, long start) {
    int stranded = 0;
    for (int i = 0; i < SAMPLES; i++) {
      String itemId = Deployment.itemId("step0", i);
      if (!deployment.tracker.isFinished(itemId) && deployment.tracker.idleSeconds(itemId, start) >= 5) {
        stranded++;
      }
    }
    int slots = 7 * 12;
    int running = deployment.tracker.running();
    record.say(
        "the step ran out of time: read " + listed + ", begun " + deployment.tracker.begun()
            + ", not finished and at no sampler for 5 s: " + stranded + ", samplers run " + running + " of " + slots);
    for (NodeProcess node : deployment.nodes) {
      Client.Response later =
          deployment.submit(node, "later" + node.id(), submission(node), 3_000);
      record.say(node.id() + ": ready " + node.isReady() + ", a new step there: " + later.status());
    }
    return stranded > 0 && deployment.tracker.begun() > 0 && running < slots / 2 ? 1 : 0;
  }

  private static byte[] submission(NodeProcess node) {
    try {
      return Deployment.submission("later" + node.id(), 8, 600, 1);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
