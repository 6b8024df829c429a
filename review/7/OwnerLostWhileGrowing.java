import java.nio.file.Path;
import java.util.List;

/**
 * A machine that has just accepted a step is lost for good while machines are added, one a second.
 * The step must not run out of time with items that were at no sampler while the samplers had
 * nothing to do.
 */
public final class OwnerLostWhileGrowing {
  private static final int NODES = 52;
  /** The number of machines that are added; 0 shows the loss of the owner alone. */
  private static final int ADDED =
      Integer.parseInt(System.getenv().getOrDefault("ADDED", "13"));

  private static final long ADD_GAP_MS = 1_000;
  private static final long STABLE_MS = 3_000;
  private static final long STEP_LIMIT_MS = 12_000;
  private static final long AT_NO_SAMPLER_MS = 5_000;
  private static final long LOST_AFTER_MS = 500;
  private static final String BATCH = "33cc41e09b52";
  private static final int GROUPS = 6;
  private static final int GROUP_SIZE = 8;
  private static final int EVENTS = 26;
  private static final int SAMPLERS = 4;
  private static final int SLOTS = 4;

  private OwnerLostWhileGrowing() {}

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
    deployment.addSamplers(Deployment.MODEL_SERVICE, Deployment.MODEL, SAMPLERS, SLOTS, 40);
    if (!deployment.start(NODES)) {
      record.say("the nodes did not become ready");
      return 2;
    }
    int total = GROUPS * GROUP_SIZE;
    byte[] body = Deployment.submission(BATCH, GROUPS, GROUP_SIZE, EVENTS);
    NodeProc owner = deployment.nodes.get(0);
    int status =
        deployment.send(owner, "POST", Deployment.BATCH_PREFIX + BATCH, BATCH, body, 6_000);
    if (status != 202) {
      record.say("the batch was not accepted: %d", status);
      return 2;
    }
    long limitMs = record.nowMs() + STEP_LIMIT_MS;
    StoreSim.sleep(LOST_AFTER_MS);
    long stableMs = record.nowMs();
    if (trouble) {
      owner.signal("KILL");
      record.add("%s killed for good", owner.id());
      stableMs = record.nowMs() + STABLE_MS;
      Thread.ofVirtual().start(() -> grow(deployment, record));
    }
    NodeProc reader = deployment.nodes.get(1);
    int listed = 0;
    int busiest = 0;
    while (record.nowMs() < limitMs && listed < total) {
      StoreSim.sleep(500);
      listed = Math.max(listed, deployment.listed(reader, BATCH));
      if (record.nowMs() >= limitMs - AT_NO_SAMPLER_MS) {
        busiest = Math.max(busiest, running(deployment));
      }
    }
    long endMs = record.nowMs();
    record.say("results listed at the time limit: %d of %d", listed, total);
    int waiting = listed < total ? waiting(deployment, endMs, stableMs) : 0;
    boolean begun = deployment.runs.stream().anyMatch(run -> run.requestId.startsWith(BATCH));
    record.say(
        "items at no sampler for the last %d ms: %d; others had begun: %s; most runs then: %d of %d",
        AT_NO_SAMPLER_MS, waiting, begun, busiest, SAMPLERS * SLOTS);
    boolean broken = waiting > 0 && begun && 2 * busiest < SAMPLERS * SLOTS;
    if (broken) {
      boolean later =
          Deployment.await(15_000, () -> deployment.listed(reader, BATCH) == total);
      record.say("all results listed %d ms after the time limit: %s", record.nowMs() - endMs, later);
    }
    return broken ? 1 : 0;
  }

  private static void grow(Deployment deployment, Record record) {
    for (int i = 0; i < ADDED; i++) {
      try {
        record.add("%s added", deployment.addNode().id());
      } catch (java.io.IOException e) {
        record.add("no node added: %s", e);
      }
      StoreSim.sleep(ADD_GAP_MS);
    }
  }

  private static int running(Deployment deployment) {
    return deployment.samplers.stream().mapToInt(SamplerSim::running).sum();
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
}
