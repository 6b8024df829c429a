package org.sycamoretrack.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.sycamoretrack.core.connection.EndpointSelector;
import org.sycamoretrack.core.connection.EndpointStats;
import org.sycamoretrack.core.connection.EndpointView;
import org.sycamoretrack.core.connection.RequestTraits;
import org.sycamoretrack.core.process.RendezvousHash;
import org.sycamoretrack.core.request.AdmissionQueue;
import org.sycamoretrack.core.request.ClaimLedger;
import org.sycamoretrack.core.request.ClaimLimits;
import org.sycamoretrack.core.request.GroupSpec;
import org.sycamoretrack.core.request.InFlightCounts;
import org.sycamoretrack.core.request.QueueFlow;
import org.sycamoretrack.core.request.RecordedResponse;
import org.sycamoretrack.core.request.RequestClass;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.SlotBitmap;
import org.sycamoretrack.core.request.StepId;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.StepState;
import org.sycamoretrack.core.request.StragglerPolicy;
import org.sycamoretrack.core.request.VersionSpan;
import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.PoolType;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceSpec;

/** Measures the cost of the core classes of each role at several sizes. */
final class RoleCosts {
  private static final String ZONE = "zone-0";
  private static final int NODES_IN_ZONE = ReferenceScale.NODES / ReferenceScale.ZONES;
  private static final int OWN_ENDPOINTS = ReferenceScale.SAMPLERS / ReferenceScale.NODES;
  private static final double CHANGES_PER_S =
      ReferenceScale.CHANGES_PER_DAY / ReferenceScale.S_PER_DAY;
  private static final double MEMBER_EVENTS_PER_S =
      ReferenceScale.MEMBER_EVENTS_PER_DAY / ReferenceScale.S_PER_DAY;
  private static final double VIEW_REFRESHES_PER_S = 20;
  private static final double STRAGGLER_CHECKS_PER_S = 5;
  private static final double POLLS_PER_S = 1;
  private static final double KEYED_SHARE = 0.05;
  private static final int CLAIM_RANGES = 64;
  private static final double ENGINE_POLLS_PER_S = 2;
  private static final int ENGINE_POLL_BYTES = 350;
  private static final double HOST_LIST_READS_PER_S = 0.6;
  private static final int HOST_BYTES = 130;
  private static final int LOAD_REPORT_BYTES = 20;
  private static final int LOAD_REPORT_RECEIVERS = 12;
  private static final int TCP_IP_HEADER_BYTES = 52;
  private static final int CHANGE_BYTES = 400;
  private static final int SAMPLE_CHARS = 2_000;

  private RoleCosts() {}

  static List<RoleCost> measureAll(int[] samplerCounts) {
    List<RoleCost> costs = new ArrayList<>();
    for (int samplers : samplerCounts) {
      costs.add(routing(samplers));
    }
    for (int samplers : samplerCounts) {
      costs.add(ownership(samplers));
    }
    for (int samplers : samplerCounts) {
      costs.add(configuration(samplers));
    }
    costs.add(queue());
    costs.add(tokens());
    costs.add(endpointViews());
    costs.add(enginePolls());
    costs.add(hostList());
    costs.add(stepPoll());
    costs.add(stragglers());
    costs.add(claims());
    return costs;
  }

  private static double atReferenceScale(int samplers, double perSecond) {
    return samplers == ReferenceScale.SAMPLERS ? perSecond : 0;
  }

  private static RoleCost routing(int samplers) {
    Supplier<List<EndpointView>> factory =
        () -> IntStream.range(0, samplers).mapToObj(RoleCosts::view).toList();
    List<EndpointView> views = factory.get();
    EndpointSelector selector = new EndpointSelector(new SplittableRandom(1));
    RequestTraits traits =
        new RequestTraits(RequestClass.INTERACTIVE, ZONE, 4_711, 0, 100, Set.of());
    double micros = MicroBenchmark.medianMicros(() -> selector.choose(views, traits, 1_000));
    double perSecond =
        (ReferenceScale.REQUESTS_PER_S + ReferenceScale.samplesPerS()) / ReferenceScale.NODES;
    double megabytes = MicroBenchmark.retainedMegabytes(factory);
    return new RoleCost(
        "routing",
        "choose an endpoint among all",
        samplers,
        micros,
        atReferenceScale(samplers, perSecond),
        megabytes,
        0,
        false);
  }

  private static EndpointView view(int index) {
    return EndpointView.builder("sampler-" + index, "zone-" + index % ReferenceScale.ZONES)
        .limit(64)
        .inFlight(index % 60)
        .timePerTokenMs(20 + index % 7)
        .servedVersion(1)
        .build();
  }

  private static RoleCost ownership(int samplers) {
    List<String> nodes = IntStream.range(0, NODES_IN_ZONE).mapToObj(i -> "node-" + i).toList();
    double micros =
        MicroBenchmark.medianMicros(
            () -> {
              Object last = null;
              for (int i = 0; i < samplers; i++) {
                last = RendezvousHash.owner("endpoint/sampler-" + i, nodes);
              }
              return last;
            });
    double perSecond = CHANGES_PER_S + MEMBER_EVENTS_PER_S;
    return new RoleCost(
        "routing",
        "assign all endpoints to owners",
        samplers,
        micros,
        atReferenceScale(samplers, perSecond),
        0,
        0,
        true);
  }

  private static RoleCost configuration(int samplers) {
    Supplier<Configuration> factory = () -> configurationOf(samplers);
    Configuration configuration = factory.get();
    Resource changed = endpoint(3, "pool-1").withVersion(8);
    double micros = MicroBenchmark.medianMicros(() -> configuration.with(8, changed));
    // Both the old and the new configuration are in memory while a change is applied.
    double megabytes = MicroBenchmark.retainedMegabytes(factory);
    return new RoleCost(
        "configuration",
        "apply a change",
        samplers,
        micros,
        atReferenceScale(samplers, CHANGES_PER_S),
        megabytes,
        samplers == ReferenceScale.SAMPLERS
            ? CHANGES_PER_S * (CHANGE_BYTES + 2 * TCP_IP_HEADER_BYTES)
            : 0,
        true);
  }

  private static Configuration configurationOf(int samplers) {
    List<Resource> resources = new ArrayList<>();
    int pools = Math.max(1, samplers / 100);
    for (int i = 0; i < pools; i++) {
      ResourceSpec spec = new ResourceSpec.PoolSpec(PoolType.MODEL, "model-" + i, true, 0.5);
      resources.add(new Resource("pool-" + i, Map.of("tier", "t" + i % 3), 1, spec));
    }
    for (int i = 0; i < samplers; i++) {
      resources.add(endpoint(i, "pool-" + i % pools));
    }
    return new Configuration(7, resources);
  }

  private static Resource endpoint(int index, String pool) {
    String address = "10.1." + index / 250 + "." + (1 + index % 250);
    ResourceSpec spec =
        new ResourceSpec.EndpointSpec(pool, address, 8_000, "zone-" + index % ReferenceScale.ZONES);
    return new Resource("sampler-" + index, Map.of("rack", "r" + index % 40), 1, spec);
  }

  private static RoleCost queue() {
    int entries = 256;
    Supplier<AdmissionQueue<Integer>> factory =
        () -> {
          AdmissionQueue<Integer> queue = AdmissionQueue.builder().build();
          for (int i = 0; i < entries; i++) {
            queue.offer(
                i, RequestClass.ROLLOUT, QueueFlow.of("track-" + i % 23), 500, 60_000 + i, 0);
          }
          return queue;
        };
    AdmissionQueue<Integer> queue = factory.get();
    int[] next = {entries};
    double micros =
        MicroBenchmark.medianMicros(
            () -> {
              int item = next[0]++;
              String flow = "track-" + item % 23;
              queue.offer(item, RequestClass.ROLLOUT, QueueFlow.of(flow), 500, Long.MAX_VALUE, 0);
              return queue.poll(0, InFlightCounts.NONE, 64);
            });
    double perSecond =
        (ReferenceScale.REQUESTS_PER_S + ReferenceScale.samplesPerS()) / ReferenceScale.NODES;
    double megabytes = OWN_ENDPOINTS * MicroBenchmark.retainedMegabytes(factory);
    return new RoleCost(
        "endpoints", "queue and admit a request", entries, micros, perSecond, megabytes, 0, false);
  }

  private static RoleCost tokens() {
    EndpointStats stats = new EndpointStats();
    stats.onStart(0);
    double micros =
        MicroBenchmark.medianMicros(
            () -> {
              stats.onTokens(20, 20, 1);
              return stats;
            });
    double perSecond = ReferenceScale.TOKENS_PER_S / ReferenceScale.NODES;
    return new RoleCost("endpoints", "measure a token", 1, micros, perSecond, 0, 0, false);
  }

  private static RoleCost endpointViews() {
    EndpointStats stats = new EndpointStats();
    double micros =
        MicroBenchmark.medianMicros(() -> stats.view("sampler-1", ZONE, 20).limit(64).build());
    double bytes =
        LOAD_REPORT_RECEIVERS
            * (OWN_ENDPOINTS * LOAD_REPORT_BYTES + TCP_IP_HEADER_BYTES + TCP_IP_HEADER_BYTES / 2.0);
    return new RoleCost(
        "endpoints",
        "build the views of all endpoints (one view)",
        1,
        micros,
        VIEW_REFRESHES_PER_S * ReferenceScale.SAMPLERS,
        0,
        bytes,
        true);
  }

  /** The owner of an endpoint reads its load and weights; the time of the calls is not measured. */
  private static RoleCost enginePolls() {
    double perSecond = ENGINE_POLLS_PER_S * OWN_ENDPOINTS;
    double bytes = perSecond * (ENGINE_POLL_BYTES + 2.0 * TCP_IP_HEADER_BYTES);
    return new RoleCost(
        "endpoints", "poll the engines of the node", OWN_ENDPOINTS, 0, perSecond, 0, bytes, true);
  }

  /** Every node reads the complete host list; the time to parse it is not measured. */
  private static RoleCost hostList() {
    int hosts = ReferenceScale.SAMPLERS + ReferenceScale.NODES;
    double bytes = HOST_LIST_READS_PER_S * hosts * HOST_BYTES;
    return new RoleCost(
        "membership", "read the host list", hosts, 0, HOST_LIST_READS_PER_S, 0, bytes, true);
  }

  private static RoleCost stepPoll() {
    Supplier<StepState> factory = RoleCosts::fullStep;
    StepState state = factory.get();
    SlotBitmap received =
        SlotBitmap.ofBytes(new byte[ReferenceScale.SLOTS / 8], ReferenceScale.SLOTS);
    double micros =
        MicroBenchmark.medianMicros(
            () -> {
              state.acknowledge(received);
              return state.deliverable(0, 256);
            });
    double megabytes = MicroBenchmark.retainedMegabytes(factory);
    double owned = (double) ReferenceScale.TRAINERS / ReferenceScale.NODES;
    return new RoleCost(
        "steps",
        "respond to a poll, nothing received yet",
        ReferenceScale.SLOTS,
        micros,
        POLLS_PER_S * Math.max(1, owned),
        megabytes,
        0,
        false);
  }

  private static StepState fullStep() {
    List<GroupSpec> groups =
        IntStream.range(0, ReferenceScale.SLOTS / 16)
            .mapToObj(i -> new GroupSpec("cut pattern " + i, 16, i))
            .toList();
    StepState state = new StepState(new StepSpec(new StepId("track", 1), 1, 4_096, groups));
    for (int slot = 0; slot < ReferenceScale.SLOTS; slot++) {
      state.startNext();
      List<VersionSpan> spans = List.of(new VersionSpan(1, 0, 500));
      String text = "t".repeat(SAMPLE_CHARS);
      state.finish(new Sample(slot, text, 500, "stop", 1, null, spans));
    }
    return state;
  }

  private static RoleCost stragglers() {
    List<StragglerPolicy.RunningSample> running =
        IntStream.range(0, ReferenceScale.SLOTS)
            .mapToObj(
                i ->
                    new StragglerPolicy.RunningSample(
                        i,
                        "sampler-" + i % ReferenceScale.SAMPLERS,
                        i % 4_000,
                        4_096,
                        1,
                        20 + i % 5))
            .toList();
    List<StragglerPolicy.EndpointStatus> endpointStatuses =
        IntStream.range(0, ReferenceScale.SAMPLERS)
            .mapToObj(i -> new StragglerPolicy.EndpointStatus("sampler-" + i, 2, 30, 1, 22))
            .toList();
    StragglerPolicy policy = new StragglerPolicy();
    StragglerPolicy.StepProgress progress =
        new StragglerPolicy.StepProgress(ReferenceScale.SLOTS, running, 0, 4_000_000, 0);
    double micros =
        MicroBenchmark.medianMicros(() -> policy.selectMoves(progress, endpointStatuses));
    return new RoleCost(
        "steps",
        "look for late samples, none late",
        ReferenceScale.SLOTS,
        micros,
        STRAGGLER_CHECKS_PER_S,
        0,
        0,
        false);
  }

  private static RoleCost claims() {
    ClaimLimits limits = ClaimLimits.DEFAULT;
    ClaimLedger ledger = new ClaimLedger(limits, 1, "node-1");
    RecordedResponse response = RecordedResponse.of(200, Map.of(), new byte[400]);
    int[] next = {0};
    long[] nowMs = {0};
    double micros =
        MicroBenchmark.medianMicros(
            () -> {
              nowMs[0] += limits.retentionMs();
              ledger.takeExpiredBatches(nowMs[0], 100);
              String key = "counter-app/k-" + next[0]++;
              ledger.claim(key, "fingerprint", nowMs[0]);
              ledger.nextBatch();
              ledger.onCommitted();
              ledger.recordResponse(key, response, nowMs[0]);
              ledger.nextBatch();
              return ledger.onCommitted();
            });
    double perSecond = KEYED_SHARE * ReferenceScale.REQUESTS_PER_S / CLAIM_RANGES;
    double megabytes = MicroBenchmark.retainedMegabytes(RoleCosts::fullLedger);
    return new RoleCost(
        "claims",
        "claim, run and settle a key",
        limits.maxKeys(),
        micros,
        perSecond,
        megabytes,
        0,
        true);
  }

  private static ClaimLedger fullLedger() {
    ClaimLedger ledger = new ClaimLedger(ClaimLimits.DEFAULT, 1, "node-1");
    for (int i = 0; i < ClaimLimits.DEFAULT.maxKeys(); i++) {
      String key = "counter-app/k-" + i;
      ledger.claim(key, "fingerprint-" + i, i);
      ledger.nextBatch();
      ledger.onCommitted();
      ledger.recordResponse(key, RecordedResponse.of(200, Map.of(), new byte[400]), i);
      ledger.nextBatch();
      ledger.onCommitted();
    }
    return ledger;
  }
}
