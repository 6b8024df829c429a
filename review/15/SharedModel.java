import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 15: two services have samplers of the same model, and a trainer names versions of it. Without
 * the disruption no version is named.
 */
final class SharedModel {
  private static final int SAMPLES = 128;
  private static final int SLOTS = 6;

  /** The time limit of the trainer on the sheet. */
  private static final double TIME_LIMIT_S = 12;

  private SharedModel() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(record, 4, 4, 2)) {
      result = run(record, deployment, trouble);
      record.say("result " + result);
    }
    // The runtime itself exits with 1 if it can't run the program.
    System.exit(result == 1 ? 10 : result);
  }

  private static void prepare(SamplerStub sampler) {
    sampler.events = 38;
    sampler.eventMs = 36;
    sampler.slots = SLOTS;
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    deployment.models.forEach(SharedModel::prepare);
    deployment.publish();
    NodeProcess first = deployment.addNode("front-svea-a-1", "svea-a");
    NodeProcess second = deployment.addNode("front-svea-b-1", "svea-b");
    if (!first.awaitReady(15_000) || !second.awaitReady(15_000)) {
      record.say("the nodes didn't start");
      return 2;
    }
    int version = 1;
    for (int named = 2; named <= 3; named++) {
      Thread.sleep(10_000);
      if (trouble) {
        deployment.nameVersion(named);
        version = named;
      }
    }
    Thread.sleep(15_000);
    say(record, deployment);
    prepare(deployment.addSampler("i-added-0", Deployment.MODEL_SERVICE, version));
    prepare(deployment.addSampler("i-added-1", Deployment.OTHER_MODEL_SERVICE, version));
    deployment.publish();
    record.say("a sampler added to each service, with version " + version);
    Thread.sleep(3_000);

    String[] prefixes = {"/pufi791/", "/pufi792/"};
    String[] services = {Deployment.MODEL_SERVICE, Deployment.OTHER_MODEL_SERVICE};
    List<Thread> trainers = new ArrayList<>();
    int[] results = {2, 2};
    int minVersion = Math.max(1, version - 1);
    for (int i = 0; i < 2; i++) {
      int k = i;
      trainers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      results[k] =
                          step(record, deployment, k == 0 ? first : second, prefixes[k], services[k], minVersion);
                    } catch (Exception e) {
                      record.say("trainer " + k + ": " + e);
                    }
                  }));
    }
    for (Thread trainer : trainers) {
      trainer.join();
    }
    say(record, deployment);
    return results[0] == 2 || results[1] == 2 ? 2 : Math.max(results[0], results[1]);
  }

  private static void say(Record record, Deployment deployment) {
    StringBuilder versions = new StringBuilder("versions:");
    deployment.models.forEach(s -> versions.append(' ').append(s.id()).append('=').append(s.version));
    record.say(versions.toString());
  }

  private static int step(
      Record record, Deployment deployment, NodeProcess node, String prefix, String service, int minVersion)
      throws Exception {
    String batch = "step" + prefix.replace("/", "");
    long start = System.nanoTime();
    byte[] body = Deployment.submission(batch, SAMPLES, 600, minVersion);
    Client.Response accepted = deployment.submit(node, prefix, batch, body, 6_000);
    if (accepted.status() != 202) {
      record.say("submission: " + accepted.status() + " " + accepted.failure());
      return 2;
    }
    int listed = 0;
    while (listed < SAMPLES && (System.nanoTime() - start) / 1e9 < TIME_LIMIT_S) {
      listed = Math.max(listed, Deployment.next(deployment.read(node, batch, listed, 0, 3_000)));
      Thread.sleep(300);
    }
    int stranded = 0;
    int begun = 0;
    for (int i = 0; i < SAMPLES; i++) {
      String itemId = Deployment.itemId(batch, i);
      boolean finished = deployment.tracker.isFinished(itemId);
      double idle = deployment.tracker.idleSeconds(itemId, start);
      begun += deployment.tracker.hasBegun(itemId) ? 1 : 0;
      stranded += !finished && idle >= 5 ? 1 : 0;
    }
    int slots = 0;
    int running = 0;
    for (SamplerStub sampler : deployment.models) {
      if (sampler.service().equals(service)) {
        slots += SLOTS;
        running += sampler.running();
      }
    }
    record.say(
        "step with min_version " + minVersion + " at " + service + ": read " + listed + " of " + SAMPLES + ", begun " + begun
            + ", not finished and at no sampler for 5 s: " + stranded + ", samplers run " + running + " of " + slots);
    return listed < SAMPLES && stranded > 0 && begun > 0 && running < slots / 2.0 ? 1 : 0;
  }
}
