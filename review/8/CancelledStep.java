import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The store forgets its history while a trainer submits a step and cancels it at another node. All
 * slots are taken by an earlier step. No item of the cancelled step may reach a sampler later than
 * {@code cancel_ms} after the acknowledgement of its end.
 */
public final class CancelledStep {
  private static final long CANCEL_MS = 3_000;
  private static final long STABLE_MS = 3_000;
  private static final long DEAF_MS = 1_000;
  private static final long ENDED_AFTER_MS = 400;
  private static final long LIMIT_MS = 25_000;
  private static final String LONG_BATCH = "11aa41e09b52";
  private static final String ENDED_BATCH = "22bb41e09b52";
  private static final int SAMPLERS = 3;
  private static final int SLOTS = 4;
  private static final long EVENT_GAP_MS = 100;
  private static final int LONG_EVENTS = 90;
  private static final int SHORT_EVENTS = 26;

  private CancelledStep() {}

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
    deployment.addSamplers(
        Deployment.MODEL_SERVICE, Deployment.MODEL, SAMPLERS, SLOTS, EVENT_GAP_MS);
    if (!deployment.start(2)) {
      record.say("the nodes did not become ready");
      return 2;
    }
    NodeProc owner = deployment.nodes.get(0);
    NodeProc other = deployment.nodes.get(1);
    byte[] longBody = Deployment.submission(LONG_BATCH, 3, SLOTS, LONG_EVENTS);
    if (!deployment.submit(0, LONG_BATCH, longBody)) {
      record.say("the first batch was not accepted");
      return 2;
    }
    if (!Deployment.await(5_000, () -> begun(deployment, LONG_BATCH).size() == SAMPLERS * SLOTS)) {
      record.say("the first batch did not take all slots");
      return 2;
    }
    if (trouble) {
      deployment.store.setDeaf();
    }
    long deafMs = record.nowMs();
    byte[] body = Deployment.submission(ENDED_BATCH, 2, 4, SHORT_EVENTS);
    int accepted =
        deployment.send(
            owner, "POST", Deployment.BATCH_PREFIX + ENDED_BATCH, ENDED_BATCH, body, 6_000);
    StoreSim.sleep(ENDED_AFTER_MS);
    int ended =
        deployment.send(other, "DELETE", "/-/lots/" + ENDED_BATCH, null, new byte[0], 3_000);
    long ackMs = record.nowMs();
    if (accepted != 202 || ended != 200) {
      record.say("the batch was not accepted and ended: %d, %d", accepted, ended);
      return 2;
    }
    long calmFromMs = deafMs;
    if (trouble) {
      StoreSim.sleep(Math.max(0, deafMs + DEAF_MS - record.nowMs()));
      deployment.store.forgetHistory();
      calmFromMs = record.nowMs() + STABLE_MS;
    }
    long fromMs = Math.max(ackMs + CANCEL_MS, calmFromMs);
    record.say("end acknowledged at %d ms, rule in force from %d ms", ackMs, fromMs);
    Deployment.await(LIMIT_MS, () -> deployment.listed(other, LONG_BATCH) == SAMPLERS * SLOTS);
    StoreSim.sleep(2_000);
    List<String> late = new ArrayList<>();
    for (Deployment.Run run : deployment.runs) {
      if (run.requestId.startsWith(ENDED_BATCH) && run.beginMs > fromMs) {
        late.add(run.requestId + " at " + run.beginMs + " ms on " + run.samplerId);
      }
    }
    record.say("items of the ended batch that ran later: %d", late.size());
    late.forEach(line -> record.say("  %s", line));
    return late.isEmpty() ? 0 : 1;
  }

  private static Set<String> begun(Deployment deployment, String batchId) {
    Set<String> begun = new TreeSet<>();
    for (Deployment.Run run : deployment.runs) {
      if (run.requestId.startsWith(batchId)) {
        begun.add(run.requestId);
      }
    }
    return begun;
  }
}
