package org.sycamoretrack.core.request.scoring;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.version.fleet.Endpoint;

/**
 * Plays plain requests and scoring calls on one service, and checks what the callers of both get.
 *
 * <p>The load: three endpoints with six slots, 12 plain requests a second of 30 ms with a tail of
 * seven times as much, and two nodes whose 60 texts each end at the same moment every four seconds,
 * far more than there are slots. Each node knows the load of the others only from responses. Only
 * plain requests that arrive during a burst are counted, which are those that it may delay.
 */
class ScoringLoadTest {
  private static final long DURATION_MS = 1_600_000;
  private static final long BURST_INTERVAL_MS = 4_000;

  /** Time after the start of a burst in which plain requests meet its scoring calls. */
  private static final long BURST_WINDOW_MS = 300;

  private static final int BURST_TEXTS = 60;
  private static final double PLAIN_INTERVAL_MS = 83;
  private static final double WORK_MS = 30;
  private static final double TAIL_SHARE = 0.03;
  private static final double TAIL_FACTOR = 7;
  private static final int SLOTS = 6;
  private static final int NODES = 2;
  private static final int ATTEMPTS = 4;

  /** The longest time that plain requests may take beside scoring, relative to that without. */
  private static final double MAX_SLOWDOWN = 1.5;

  private enum Mode {
    NO_SCORING,
    ALL_AT_ONCE,
    ADMITTED
  }

  private record Event(long atMs, int order, Runnable action) {}

  private record Work(double workMs, Runnable onEnd) {}

  /** An endpoint that runs as many requests as it has slots and queues the others. */
  private final class Server {
    private int running;
    private final Deque<Work> queue = new ArrayDeque<>();

    private void submit(Work work) {
      if (running < SLOTS) {
        run(work);
      } else {
        queue.add(work);
      }
    }

    private void run(Work work) {
      running++;
      schedule(
          (long) work.workMs(),
          () -> {
            running--;
            work.onEnd().run();
            if (!queue.isEmpty()) {
              run(queue.poll());
            }
          });
    }
  }

  private final class Node {
    private final SlotTracker tracker = new SlotTracker();
    private final SlotPlacement placement = new SlotPlacement(tracker, "a");
    private final ScoreAdmission admission = new ScoreAdmission(tracker, placement);
    private final List<ScoreProgress> waiting = new ArrayList<>();

    private void report(Endpoint endpoint) {
      Server server = servers.get(endpoint.id());
      tracker.onReport(endpoint.id(), server.running, server.queue.size(), nowMs);
    }

    private void sendPlain() {
      long startMs = nowMs;
      Endpoint endpoint = placement.chooseAny(endpoints, nowMs);
      tracker.onSent(endpoint.id());
      servers
          .get(endpoint.id())
          .submit(
              new Work(
                  workMs(),
                  () -> {
                    tracker.onEnded(endpoint.id());
                    report(endpoint);
                    if (startMs % BURST_INTERVAL_MS < BURST_WINDOW_MS) {
                      plainTimes.add((double) (nowMs - startMs));
                    }
                  }));
    }

    private void startBurst() {
      for (int i = 0; i < BURST_TEXTS; i++) {
        waiting.add(new ScoreProgress(nowMs));
      }
      dispatch();
    }

    private void dispatch() {
      for (ScoreProgress progress : List.copyOf(waiting)) {
        Endpoint endpoint =
            mode == Mode.ADMITTED
                ? admission.choose(endpoints, Set.of(), progress.elapsedMs(nowMs), nowMs)
                : placement.chooseAny(endpoints, nowMs);
        if (endpoint != null) {
          waiting.remove(progress);
          send(progress, endpoint);
        }
      }
    }

    private void send(ScoreProgress progress, Endpoint endpoint) {
      admission.onSent(endpoint.id());
      servers
          .get(endpoint.id())
          .submit(
              new Work(
                  workMs(),
                  () -> {
                    admission.onEnded(endpoint.id());
                    report(endpoint);
                    progress.onOutcome(new ScoreOutcome.Scored("score"), ATTEMPTS, nowMs);
                    scoreTimes.add((double) progress.elapsedMs(nowMs));
                    dispatch();
                  }));
    }
  }

  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingInt(Event::order));
  private final List<Double> plainTimes = new ArrayList<>();
  private final List<Double> scoreTimes = new ArrayList<>();
  private Random random;
  private Mode mode;
  private long nowMs;
  private int scheduled;

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, scheduled++, action));
  }

  private double workMs() {
    double workMs = WORK_MS * (0.5 + random.nextDouble());
    return random.nextDouble() < TAIL_SHARE ? workMs * TAIL_FACTOR : workMs;
  }

  private void everyBurst(Node node) {
    node.startBurst();
    schedule(BURST_INTERVAL_MS, () -> everyBurst(node));
  }

  private void everyPlain(List<Node> nodes) {
    nodes.get(random.nextInt(nodes.size())).sendPlain();
    double gapMs = -PLAIN_INTERVAL_MS * Math.log(1 - random.nextDouble());
    schedule(Math.max(1, (long) gapMs), () -> everyPlain(nodes));
  }

  private void everyTick(Node node) {
    node.dispatch();
    schedule(25, () -> everyTick(node));
  }

  private void play(Mode played, long seed) {
    mode = played;
    random = new Random(seed);
    nowMs = 1;
    events.clear();
    servers.clear();
    endpoints.clear();
    plainTimes.clear();
    scoreTimes.clear();
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      String id = "e" + i;
      endpoints.add(
          new Endpoint(id, "s", new InetSocketAddress(1), "a", SLOTS, false, 0, Map.of()));
      servers.put(id, new Server());
    }
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node());
    }
    schedule(0, () -> everyPlain(nodes));
    if (mode != Mode.NO_SCORING) {
      nodes.forEach(node -> schedule(BURST_INTERVAL_MS - nowMs, () -> everyBurst(node)));
      nodes.forEach(node -> schedule(25, () -> everyTick(node)));
    }
    while (!events.isEmpty() && events.peek().atMs() < DURATION_MS) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
  }

  private static double p99(List<Double> times) {
    double[] sorted = times.stream().mapToDouble(each -> each).toArray();
    Arrays.sort(sorted);
    return sorted[(int) (sorted.length * 0.99)];
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstsOfScoringCallsDoNotDelayPlainRequests(long seed) {
    play(Mode.NO_SCORING, seed);
    double aloneMs = p99(plainTimes);
    play(Mode.ALL_AT_ONCE, seed);
    double unlimitedMs = p99(plainTimes);
    play(Mode.ADMITTED, seed);
    double admittedMs = p99(plainTimes);

    System.out.printf(
        "seed %d: p99 of plain requests %.0f ms alone, %.0f ms beside unlimited and %.0f ms beside"
            + " admitted scoring calls; p99 of scores %.0f ms%n",
        seed, aloneMs, unlimitedMs, admittedMs, p99(scoreTimes));
    assertThat(admittedMs).isLessThanOrEqualTo(MAX_SLOWDOWN * aloneMs).isLessThan(unlimitedMs);
    assertThat(scoreTimes).hasSizeGreaterThan((int) (DURATION_MS / BURST_INTERVAL_MS) * 100);
  }
}
