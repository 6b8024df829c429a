package org.sycamoretrack.core.version.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.sycamoretrack.core.version.capacity.SimulatedCloud.Server;
import org.sycamoretrack.core.version.routing.ScalingTerms;

/**
 * A trainer's day: a batch about every 4 s of 100 to 140 items with heavy-tailed lengths, due 7.5 s
 * later, with a demand that rises and falls over the day and has bursts.
 */
final class SimulatedDay {
  static final long DAY_MS = 86_400_000;
  static final long DUE_MS = 7_500;
  static final int SLOTS = 8;
  static final double TOKENS_PER_SLOT_SECOND = 400;
  private static final long TICK_MS = 100;
  private static final long PASS_MS = 1_000;

  /** Decides on orders once a second. */
  interface Policy {
    void pass(SimulatedDay day, long nowMs);
  }

  /** A submitted batch. */
  private static final class Batch {
    private final long dueAtMs;
    private int unfinished;
    private double hintTokens;

    private Batch(long dueAtMs, int unfinished) {
      this.dueAtMs = dueAtMs;
      this.unfinished = unfinished;
    }
  }

  private record Item(Batch batch, double tokens, double hint) {}

  private record Run(Item item, Server server, long endsAtMs) {}

  final SimulatedCloud cloud;
  private final Policy policy;
  private final Random chance;
  private final Deque<Item> waiting = new ArrayDeque<>();
  private final PriorityQueue<Run> runs =
      new PriorityQueue<>(Comparator.comparingLong(Run::endsAtMs));
  private final List<Batch> open = new ArrayList<>();
  int steps;
  int stepsInTime;

  SimulatedDay(ScalingTerms terms, Map<CapacityPool, Integer> initial, Policy policy, long seed) {
    this.cloud = new SimulatedCloud(terms, initial, seed);
    this.policy = policy;
    this.chance = new Random(seed + 2);
  }

  SimulatedDay play() {
    long nextStepMs = 0;
    for (long nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
      List<Server> ended = cloud.tick(nowMs, TICK_MS);
      if (!ended.isEmpty()) {
        requeue(ended);
      }
      finishRuns(nowMs);
      if (nowMs >= nextStepMs) {
        submit(nowMs);
        nextStepMs = nowMs + 3_600 + chance.nextLong(800);
      }
      if (nowMs % PASS_MS == 0) {
        policy.pass(this, nowMs);
      }
      startRuns(nowMs);
    }
    return this;
  }

  private void requeue(List<Server> ended) {
    List<Run> lost = runs.stream().filter(run -> ended.contains(run.server)).toList();
    runs.removeAll(lost);
    lost.forEach(run -> waiting.addFirst(run.item));
  }

  private void finishRuns(long nowMs) {
    while (!runs.isEmpty() && runs.peek().endsAtMs <= nowMs) {
      Run run = runs.poll();
      run.server.running--;
      Batch batch = run.item.batch;
      batch.unfinished--;
      batch.hintTokens -= run.item.hint;
      if (batch.unfinished == 0) {
        open.remove(batch);
        steps++;
        stepsInTime += nowMs <= batch.dueAtMs ? 1 : 0;
      }
    }
  }

  private void submit(long nowMs) {
    double hours = nowMs / 3_600_000.0;
    double demand = 0.95 + 0.35 * Math.sin(2 * Math.PI * (hours - 8) / 24);
    boolean burst = nowMs / 60_000 % 47 < 3;
    int count = 100 + chance.nextInt(41);
    Batch batch = new Batch(nowMs + DUE_MS, count);
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      double scale = demand * (burst ? 1.5 : 1) * (chance.nextInt(12) == 0 ? 3 : 0.8);
      double tokens = Math.min(2_000, 600 * scale * (0.5 + chance.nextDouble()));
      double hint = tokens * Math.exp(0.4 * chance.nextGaussian());
      items.add(new Item(batch, tokens, hint));
      batch.hintTokens += hint;
    }
    items.sort(Comparator.comparingDouble(item -> -item.hint));
    waiting.addAll(items);
    open.add(batch);
  }

  private void startRuns(long nowMs) {
    for (Server server : cloud.servers()) {
      while (!waiting.isEmpty() && server.running < SLOTS && server.mayStart(nowMs)) {
        Item item = waiting.poll();
        long durationMs = Math.round(item.tokens / TOKENS_PER_SLOT_SECOND * 1_000);
        server.running++;
        runs.add(new Run(item, server, nowMs + durationMs));
      }
    }
  }

  int queueLength() {
    return waiting.size() + runs.size();
  }

  /** Returns the open batches; half of the tokens of a running item are still to be generated. */
  List<BatchWork> work(long nowMs) {
    Map<Batch, Double> generated = new HashMap<>();
    runs.forEach(run -> generated.merge(run.item.batch, run.item.hint / 2, Double::sum));
    return open.stream()
        .map(
            batch ->
                new BatchWork(
                    batch.hintTokens - generated.getOrDefault(batch, 0.0), batch.dueAtMs - nowMs))
        .toList();
  }
}
