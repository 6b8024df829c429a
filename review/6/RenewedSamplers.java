import java.nio.file.Path;
import java.util.List;

/**
 * The store is silent for 7 s, so that the entries of all samplers expire. They are back within two
 * seconds of its return. A step that is submitted after the return must not run out of time with
 * items that were at no sampler while the samplers had nothing to do.
 */
public final class RenewedSamplers {
  private static final long OUTAGE_MS = 7_000;
  private static final long FIRST_RENEWAL_MS = 1_600;
  private static final long LAST_RENEWAL_MS = 1_900;
  private static final long SUBMITTED_AFTER_MS = 1_000;

  /** Whether the entries are back with the next heartbeats, that is within 1.2 s. */
  private static final boolean SOON = "1".equals(System.getenv("SOON"));

  private static final long STABLE_MS = 3_000;
  private static final long STEP_LIMIT_MS = 12_000;
  private static final long AT_NO_SAMPLER_MS = 5_000;
  private static final String BATCH = "7c41e09b52d6";
  private static final int GROUPS = 9;
  private static final int GROUP_SIZE = 8;
  private static final int EVENTS = 26;

  private RenewedSamplers() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !args[2].equals("0");
    int status = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"));
        Deployment deployment = new Deployment(Path.of(args[0]), record)) {
      status = run(deployment, record, trouble);
      record.say("exit %d", status);
    }
    System.exit(status);
  }

  private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
    deployment.addSamplers(Deployment.MODEL_SERVICE, Deployment.MODEL, 4, 4, 40);
    deployment.addSamplers(Deployment.PLAIN_SERVICE, null, 3, 6, 0);
    if (!deployment.start(3)) {
      record.say("the nodes did not become ready");
      return 2;
    }
    if (plain(deployment, record, "before") == 0) {
      record.say("no plain request was answered before the outage");
      return 2;
    }
    long stableMs = record.nowMs();
    if (trouble) {
      deployment.store.setDown(true);
      StoreSim.sleep(OUTAGE_MS);
      long backMs = record.nowMs();
      int count = SOON ? 0 : deployment.samplers.size();
      for (int i = 0; i < count; i++) {
        long delayMs =
            FIRST_RENEWAL_MS + (LAST_RENEWAL_MS - FIRST_RENEWAL_MS) * i / Math.max(1, count - 1);
        deployment.noBeatUntilMs.put(deployment.samplers.get(i).id(), backMs + delayMs);
      }
      deployment.store.setDown(false);
      stableMs = backMs + STABLE_MS;
      StoreSim.sleep(SUBMITTED_AFTER_MS);
    }
    byte[] body = Deployment.submission(BATCH, GROUPS, GROUP_SIZE, EVENTS);
    if (!deployment.submit(0, BATCH, body)) {
      record.say("the batch was not accepted");
      return 2;
    }
    long limitMs = record.nowMs() + STEP_LIMIT_MS;
    int busiest = 0;
    long idleFromMs = Math.max(stableMs, limitMs - AT_NO_SAMPLER_MS);
    int listed = 0;
    while (record.nowMs() < limitMs && listed < GROUPS * GROUP_SIZE) {
      StoreSim.sleep(500);
      listed = Math.max(listed, deployment.listed(deployment.nodes.get(1), BATCH));
      if (record.nowMs() >= idleFromMs) {
        busiest = Math.max(busiest, running(deployment));
      }
    }
    long endMs = record.nowMs();
    record.say("results listed: %d of %d", listed, GROUPS * GROUP_SIZE);
    int waiting = listed < GROUPS * GROUP_SIZE ? waiting(deployment, endMs, stableMs) : 0;
    boolean begun = deployment.runs.stream().anyMatch(run -> run.requestId.startsWith(BATCH));
    int slots = 4 * 4;
    record.say(
        "items at no sampler for the last %d ms: %d; others had begun: %s; most runs then: %d of %d",
        AT_NO_SAMPLER_MS, waiting, begun, busiest, slots);
    plain(deployment, record, "after");
    deployment.send(deployment.nodes.get(2), "DELETE", "/-/lots/" + BATCH, null, new byte[0], 3_000);
    boolean broken = waiting > 0 && begun && 2 * busiest < slots;
    return broken ? 1 : 0;
  }

  private static int running(Deployment deployment) {
    return deployment.samplers.stream()
        .filter(sampler -> sampler.id().contains(Deployment.MODEL_SERVICE))
        .mapToInt(SamplerSim::running)
        .sum();
  }

  /** Counts the items that no sampler finished and that were at none in the last 5 s. */
  private static int waiting(Deployment deployment, long endMs, long stableMs) {
    long sinceMs = endMs - AT_NO_SAMPLER_MS;
    if (sinceMs < stableMs) {
      return 0;
    }
    int waiting = 0;
    for (int i = 0; i < GROUPS * GROUP_SIZE; i++) {
      String itemId = Deployment.itemId(BATCH, i);
      List<Deployment.Run> runs =
          deployment.runs.stream().filter(run -> run.requestId.equals(itemId)).toList();
      boolean finished = runs.stream().anyMatch(run -> run.complete);
      boolean atSampler = runs.stream().anyMatch(run -> run.endMs < 0 || run.endMs > sinceMs);
      if (!finished && !atSampler) {
        waiting++;
      }
    }
    return waiting;
  }

  /** Sends plain requests to each node; returns the number that were answered with 200. */
  private static int plain(Deployment deployment, Record record, String when) {
    int answered = 0;
    int sent = 0;
    for (int i = 0; i < 4; i++) {
      for (NodeProc node : deployment.nodes) {
        String id = "plain-" + when + "-" + sent++;
        String target = Deployment.PLAIN_PREFIX + id;
        if (deployment.send(node, "POST", target, id, new byte[600], 1_500) == 200) {
          answered++;
        }
      }
    }
    record.say("plain requests answered with 200 %s: %d of %d", when, answered, sent);
    return answered;
  }
}
