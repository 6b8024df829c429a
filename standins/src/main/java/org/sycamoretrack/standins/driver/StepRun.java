package org.sycamoretrack.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnd;
import org.sycamoretrack.standins.history.HistoryRecord.PollEnded;
import org.sycamoretrack.standins.history.HistoryRecord.PollSent;
import org.sycamoretrack.standins.history.HistoryRecord.SampleReceived;
import org.sycamoretrack.standins.history.HistoryRecord.StepOpened;
import org.sycamoretrack.standins.history.Span;
import org.sycamoretrack.standins.process.ServiceStandin;
import org.sycamoretrack.transport.process.Json;
import org.sycamoretrack.transport.request.HttpException;
import org.sycamoretrack.transport.request.HttpRequest;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * Runs one step of a trainer: opens it, then polls until a sample was received for every slot.
 *
 * <p>Only one poll is in flight at a time. A poll that times out is abandoned, which closes its
 * connection, before the next one is sent, possibly to another node. If a node does not know the
 * step, the step is opened there again. Confined to the trainer's thread, except for the counter of
 * received samples.
 */
final class StepRun {
  private static final int WAIT_MS = 2_000;
  private static final int POLL_TIMEOUT_MS = WAIT_MS + 5_000;
  private static final int MAX_ABANDON_TIMEOUT_MS = 40;
  private static final int OPEN_TIMEOUT_MS = 5_000;
  private static final int MAX_SAMPLES = 256;
  private static final int RETRY_DELAY_MS = 50;

  private final DriverContext context;
  private final Deployment.Trainer trainer;
  private final int step;
  private final int trainsVersion;
  private final double abandonShare;
  private final long timeoutMs;
  private final Random random;
  private final AtomicInteger receivedCount;
  private final String target;
  private final ObjectNode spec;
  private final BitSet received = new BitSet();
  private final Set<Integer> versions = new HashSet<>();
  private int duplicates;
  private int stale;
  private int malformed;
  private int wrongScore;

  StepRun(
      DriverContext context,
      Deployment.Trainer trainer,
      int step,
      int trainsVersion,
      TrainerOptions options,
      AtomicInteger receivedCount) {
    this.context = context;
    this.trainer = trainer;
    this.step = step;
    this.trainsVersion = trainsVersion;
    this.abandonShare = options.abandonShare();
    this.timeoutMs = options.stepTimeoutMs();
    this.random = new Random(options.seed() + step);
    this.receivedCount = receivedCount;
    this.target = "/v1/tracks/" + trainer.name() + "/steps/" + step;
    this.spec = spec(options.seed());
  }

  private ObjectNode spec(long seed) {
    ObjectNode json =
        Json.object().put("trainsVersion", trainsVersion).put("maxTokens", trainer.maxTokens());
    ArrayNode groups = json.putArray("groups");
    for (int group = 0; group < trainer.groups(); group++) {
      groups
          .addObject()
          .put("prompt", prompt(group))
          .put("samples", trainer.samplesPerGroup())
          .put("seed", seed * trainer.groups() + group);
    }
    return json;
  }

  private String prompt(int group) {
    return trainer.name() + " step " + step + " group " + group;
  }

  /** Runs the step until it is complete or times out, and returns its counters. */
  TrainerReport run() {
    long startNs = System.nanoTime();
    long timeoutNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    context
        .history()
        .add(
            new StepOpened(
                System.currentTimeMillis(),
                trainer.name(),
                step,
                trainer.slots(),
                trainer.maxVersionLag()));
    NodeAddress node = context.balancer().choose(trainer.zone());
    boolean open = false;
    for (int pollNumber = 1;
        received.cardinality() < trainer.slots() && System.nanoTime() - startNs < timeoutNs;
        pollNumber++) {
      open = open || open(node);
      PollResult result = open ? poll(node, pollNumber) : PollResult.NODE_FAILED;
      if (result == PollResult.STEP_UNKNOWN) {
        open = false;
      } else if (result == PollResult.NODE_FAILED) {
        context.balancer().onFailure(node);
        DriverContext.pause(RETRY_DELAY_MS);
      }
      if (result != PollResult.ANSWERED && result != PollResult.STEP_UNKNOWN) {
        NodeAddress next = context.balancer().choose(trainer.zone());
        open = open && next.zone().equals(node.zone());
        node = next;
      }
    }
    close(node);
    return report(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
  }

  private enum PollResult {
    ANSWERED,
    ABANDONED,
    STEP_UNKNOWN,
    NODE_FAILED
  }

  private boolean open(NodeAddress node) {
    try {
      HttpRequest request =
          HttpRequest.builder("PUT", node.trainer(), target)
              .json(spec)
              .timeoutMs(OPEN_TIMEOUT_MS)
              .build();
      return context.call(request, node, trainer.zone()).status() == 200;
    } catch (HttpException e) {
      return false;
    }
  }

  private PollResult poll(NodeAddress node, int pollNumber) {
    String pollId = trainer.name() + "/" + step + "/" + pollNumber;
    boolean abandonEarly = random.nextDouble() < abandonShare;
    long nowMs = System.currentTimeMillis();
    context
        .history()
        .add(new PollSent(nowMs, pollId, trainer.name(), step, node.nodeId(), trainsVersion));
    try {
      HttpRequest request =
          HttpRequest.builder("POST", node.trainer(), target + "/poll")
              .json(pollBody())
              .timeoutMs(abandonEarly ? random.nextInt(1, MAX_ABANDON_TIMEOUT_MS) : POLL_TIMEOUT_MS)
              .build();
      return onResponse(pollId, context.call(request, node, trainer.zone()));
    } catch (HttpException e) {
      boolean abandoned = e.kind() == HttpException.Kind.TIMED_OUT;
      recordPollEnd(pollId, pollEndOf(e));
      return abandoned && abandonEarly ? PollResult.ABANDONED : PollResult.NODE_FAILED;
    }
  }

  private static PollEnd pollEndOf(HttpException failure) {
    if (failure.kind() == HttpException.Kind.TIMED_OUT) {
      return PollEnd.ABANDONED;
    }
    return failure.maybeSent() ? PollEnd.BROKEN : PollEnd.NOT_SENT;
  }

  private ObjectNode pollBody() {
    return Json.object()
        .put("received", Base64.getEncoder().encodeToString(received.toByteArray()))
        .put("trainsVersion", trainsVersion)
        .put("waitMs", WAIT_MS)
        .put("maxSamples", MAX_SAMPLES);
  }

  private PollResult onResponse(String pollId, HttpResponse response) {
    if (response.status() != 200) {
      recordPollEnd(pollId, PollEnd.REFUSED);
      return response.status() == 404 ? PollResult.STEP_UNKNOWN : PollResult.NODE_FAILED;
    }
    for (JsonNode sample : response.json().path("samples")) {
      onSample(pollId, sample);
    }
    recordPollEnd(pollId, PollEnd.ANSWERED);
    return PollResult.ANSWERED;
  }

  private void recordPollEnd(String pollId, PollEnd end) {
    context.history().add(new PollEnded(System.currentTimeMillis(), pollId, end));
  }

  private void onSample(String pollId, JsonNode sample) {
    int slot = sample.path("slot").asInt(-1);
    List<Span> spans = spans(sample);
    String text = sample.path("text").asText();
    int tokens = sample.path("tokens").asInt();
    String prompt = prompt(Math.max(0, slot) / trainer.samplesPerGroup());
    context
        .history()
        .add(
            new SampleReceived(
                System.currentTimeMillis(), pollId, slot, prompt, text, tokens, spans));
    if (slot < 0 || slot >= trainer.slots()) {
      malformed++;
      return;
    }
    if (received.get(slot)) {
      duplicates++;
      return;
    }
    received.set(slot);
    receivedCount.incrementAndGet();
    if (!coversAllTokens(spans, tokens)) {
      malformed++;
    }
    if (!hasExpectedScore(sample, text)) {
      wrongScore++;
    }
    if (spans.stream().anyMatch(span -> span.version() < trainsVersion - trainer.maxVersionLag())) {
      stale++;
    }
  }

  private boolean hasExpectedScore(JsonNode sample, String text) {
    JsonNode score = sample.path("score");
    double expected = ServiceStandin.score(text);
    if (trainer.scorer() == null || expected < unscorableShare()) {
      return !score.isNumber();
    }
    return score.isNumber() && score.asDouble() == expected;
  }

  private double unscorableShare() {
    return context.deployment().pools().stream()
        .filter(pool -> pool.name().equals(trainer.scorer()))
        .mapToDouble(Deployment.Pool::unscorableShare)
        .findFirst()
        .orElse(0);
  }

  private List<Span> spans(JsonNode sample) {
    List<Span> spans = new ArrayList<>();
    for (JsonNode span : sample.path("spans")) {
      int version = span.path("version").asInt(-1);
      versions.add(version);
      spans.add(
          new Span(version, span.path("fromToken").asInt(-1), span.path("toToken").asInt(-1)));
    }
    return spans;
  }

  private static boolean coversAllTokens(List<Span> spans, int tokens) {
    int next = 0;
    for (Span span : spans) {
      if (span.fromToken() != next || span.toToken() <= next) {
        return false;
      }
      next = span.toToken();
    }
    return next == tokens && tokens > 0;
  }

  private void close(NodeAddress node) {
    try {
      HttpRequest request =
          HttpRequest.builder("DELETE", node.trainer(), target).timeoutMs(OPEN_TIMEOUT_MS).build();
      context.call(request, node, trainer.zone());
    } catch (HttpException e) {
      // The node closes the step by itself when polls stop.
      context.balancer().onFailure(node);
    }
  }

  /** Returns the weight versions that the received samples name. */
  Set<Integer> versions() {
    return versions;
  }

  private TrainerReport report(long idleMs) {
    int delivered = received.cardinality();
    int missing = trainer.slots() - delivered;
    int completed = missing == 0 ? 1 : 0;
    return new TrainerReport(
        completed,
        trainer.slots(),
        delivered,
        duplicates,
        missing,
        stale,
        malformed,
        wrongScore,
        idleMs);
  }
}
