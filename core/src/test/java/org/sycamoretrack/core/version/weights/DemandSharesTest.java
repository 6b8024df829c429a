package org.sycamoretrack.core.version.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of {@link DemandShares}. */
class DemandSharesTest {
  private static final List<String> MODELS = List.of("m", "n", "o");

  private final DemandShares shares = new DemandShares();

  private static List<String> endpoints(int count) {
    return IntStream.range(0, count).mapToObj("e%02d"::formatted).toList();
  }

  private static Map<String, Double> demand(double... values) {
    Map<String, Double> demand = new TreeMap<>();
    for (int i = 0; i < values.length; i++) {
      demand.put(MODELS.get(i), values[i]);
    }
    return demand;
  }

  private static double[] numbers(String text) {
    return Arrays.stream(text.split(" ", -1)).mapToDouble(Double::parseDouble).toArray();
  }

  private static List<Integer> sizes(Map<String, List<String>> assigned) {
    return MODELS.stream().map(model -> assigned.get(model).size()).toList();
  }

  /** Guards against shares that don't follow the demand, and against a model without endpoints. */
  @ParameterizedTest(name = "{0} endpoints, demand {1}: {2}")
  @CsvSource({
    "12, 1400 2400 2400, 3 5 4",
    "34, 1400 2400 2400, 8 13 13",
    "12, 10 10 1000, 1 1 10",
    "12, 0 10 10, 1 6 5",
    "12, 1000 1390 1200, 4 4 4",
    "3, 10 10 1000, 1 1 1",
    "12, 0 0 0, 4 4 4"
  })
  void sharesFollowTheDemand(int count, String demandText, String expected) {
    Map<String, List<String>> assigned = Map.of();
    for (long nowMs = 0; nowMs < 120_000; nowMs += 100) {
      assigned =
          shares.assign(MODELS, endpoints(count), assigned, demand(numbers(demandText)), nowMs);
    }
    assertThat(sizes(assigned))
        .isEqualTo(Arrays.stream(expected.split(" ", -1)).map(Integer::valueOf).toList());
  }

  /** Guards against a change of today's shares while the demands hardly differ. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void sharesAreThoseOfModelAssignmentWhileDemandsDifferByLessThanTheRatio(long seed) {
    Random random = new Random(seed);
    Map<String, List<String>> assigned = Map.of();
    Map<String, List<String>> expected = Map.of();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 100) {
      List<String> present = new ArrayList<>(endpoints(12));
      present.removeIf(id -> random.nextInt(4) == 0);
      Map<String, Double> demand = demand(100, 100 + random.nextInt(39), 100 + random.nextInt(39));

      assigned = shares.assign(MODELS, present, assigned, demand, nowMs);
      expected = ModelAssignment.assign(MODELS, present, expected);

      assertThat(assigned).isEqualTo(expected);
    }
  }

  /** Guards against loads of weights that cost more than the better shares gain. */
  @Test
  void movesAtMostOneEndpointInFourSecondsAndSettles() {
    Random random = new Random(7);
    Map<String, List<String>> assigned = Map.of();
    long movedAtMs = -4_000;
    int moves = 0;
    List<List<Integer>> sizesAtEnd = new ArrayList<>();
    for (long nowMs = 0; nowMs < 300_000; nowMs += 100) {
      double low = nowMs < 100_000 ? 1_400 : 2_400;
      double high = nowMs < 100_000 ? 2_400 : nowMs < 200_000 ? 1_400 : 2_400;
      Map<String, Double> demand =
          demand(low * noise(random), high * noise(random), 2_400 * noise(random));
      Map<String, List<String>> next =
          shares.assign(MODELS, endpoints(34), assigned, demand, nowMs);
      int moved = 0;
      for (String model : MODELS) {
        List<String> gained = new ArrayList<>(next.get(model));
        gained.removeAll(assigned.getOrDefault(model, next.get(model)));
        moved += gained.size();
      }
      assertThat(moved).isLessThanOrEqualTo(1);
      if (moved > 0) {
        assertThat(nowMs - movedAtMs).isGreaterThanOrEqualTo(4_000);
        movedAtMs = nowMs;
        moves++;
      }
      assigned = next;
      if (nowMs % 100_000 == 99_900) {
        sizesAtEnd.add(sizes(assigned));
      }
    }
    assertThat(sizesAtEnd)
        .containsExactly(List.of(8, 13, 13), List.of(13, 8, 13), List.of(11, 11, 12));
    // The first shares are no moves; 5 moves turn the demand round, and 3 make the shares equal.
    assertThat(moves).isEqualTo(8);
  }

  private static double noise(Random random) {
    return 0.95 + 0.1 * random.nextDouble();
  }

  /** Guards against a new or lost endpoint that counts as a move or leaves a share empty. */
  @Test
  void endpointsThatJoinOrLeaveChangeOnlyTheirShare() {
    Map<String, Double> demand = demand(1, 1, 8);
    Map<String, List<String>> before =
        Map.of("m", List.of("e00"), "n", List.of("e01"), "o", List.of("e02", "e03", "e04"));

    Map<String, List<String>> joined = shares.assign(MODELS, endpoints(6), before, demand, 100);
    assertThat(joined.get("o")).contains("e05");
    assertThat(sizes(joined)).containsExactly(1, 1, 4);
    Map<String, List<String>> left =
        shares.assign(MODELS, endpoints(6).subList(1, 6), joined, demand, 200);
    assertThat(sizes(left)).containsExactly(1, 1, 3);
  }

  /**
   * Guards against shares that complete fewer steps in time than equal shares or one pool, where
   * each endpoint loads the weights of all models.
   */
  @Test
  void completesMoreStepsInTimeThanEqualSharesAndOnePool() {
    int byDemand = new SharedSteps(new DemandShares()::assign).play("by-demand");
    int equal =
        new SharedSteps(
                (models, ids, previous, demand, nowMs) ->
                    ModelAssignment.assign(models, ids, previous))
            .play("equal");
    int onePool =
        new SharedSteps(
                (models, ids, previous, demand, nowMs) -> {
                  Map<String, List<String>> all = new TreeMap<>();
                  models.forEach(model -> all.put(model, List.copyOf(ids)));
                  return all;
                })
            .play("one-pool");

    assertThat(byDemand).isGreaterThan(equal).isGreaterThan(onePool);
  }

  /** Computes shares. */
  private interface Assignment {
    Map<String, List<String>> assign(
        List<String> models,
        List<String> endpointIds,
        Map<String, List<String>> previous,
        Map<String, Double> demand,
        long nowMs);
  }

  /**
   * Half an hour of steps: each model's trainer submits a batch and announces a version every 4 s.
   * An endpoint divides its rate between the oldest batches of the models that it serves, and none
   * while it loads.
   */
  private static final class SharedSteps {
    private static final double[] EVENTS = {1_400, 2_400, 2_400};
    private static final double EVENTS_PER_ENDPOINT_MS = 0.195;
    private static final long TICK_MS = 50;
    private static final long STEP_MS = 4_000;
    private static final long DUE_MS = 7_500;
    private static final long LOAD_MS = 900;

    private final Assignment assignment;
    private final List<String> endpoints = endpoints(12);
    private final Map<String, Map<String, Integer>> versions = new TreeMap<>();
    private final Map<String, Long> loadsUntilMs = new TreeMap<>();
    private final Map<String, String> loads = new TreeMap<>();
    private final Map<String, List<double[]>> batches = new TreeMap<>();
    private int steps;
    private int inTime;
    private int loadCount;
    private double durationMs;

    SharedSteps(Assignment assignment) {
      this.assignment = assignment;
      MODELS.forEach(model -> batches.put(model, new ArrayList<>()));
      endpoints.forEach(id -> versions.put(id, new TreeMap<>()));
    }

    int play(String name) {
      LoadPlanner planner = new LoadPlanner(ConcurrentLoadLimit.fixed(4));
      Map<String, List<String>> shares = Map.of();
      Random random = new Random(3);
      Map<String, Long> announcedAtMs = new TreeMap<>();
      Map<String, Integer> announced = new TreeMap<>();
      for (long nowMs = 0; nowMs < 1_800_000; nowMs += TICK_MS) {
        for (int i = 0; i < MODELS.size(); i++) {
          if (nowMs % STEP_MS == i * 1_300L) {
            batches
                .get(MODELS.get(i))
                .add(new double[] {EVENTS[i] * (0.7 + 0.6 * random.nextDouble()), nowMs});
            announced.merge(MODELS.get(i), 1, Integer::sum);
            announcedAtMs.put(MODELS.get(i), nowMs);
          }
        }
        shares = assignment.assign(MODELS, endpoints, shares, demand(EVENTS), nowMs);
        load(planner, shares, announced, announcedAtMs, nowMs);
        run(shares, announced, nowMs);
      }
      System.out.printf(
          Locale.ROOT,
          "model-shares %-10s steps %d in time %d (%.1f %%), mean step %.0f ms, loads %d%n",
          name,
          steps,
          inTime,
          100.0 * inTime / steps,
          durationMs / steps,
          loadCount);
      return inTime;
    }

    private void load(
        LoadPlanner planner,
        Map<String, List<String>> shares,
        Map<String, Integer> announced,
        Map<String, Long> announcedAtMs,
        long nowMs) {
      List<LoadPlanner.Target> targets = new ArrayList<>();
      shares.forEach(
          (model, ids) ->
              ids.forEach(
                  id ->
                      targets.add(
                          new LoadPlanner.Target(
                              id,
                              model,
                              versions.get(id).getOrDefault(model, 0),
                              loadsUntilMs.getOrDefault(id, 0L) > nowMs))));
      Map<String, LoadPlanner.NewestVersion> newest = new TreeMap<>();
      announced.forEach(
          (model, version) ->
              newest.put(
                  model, new LoadPlanner.NewestVersion(version, nowMs - announcedAtMs.get(model))));
      for (LoadPlanner.Load load : planner.next(targets, newest)) {
        loadsUntilMs.put(load.endpointId(), nowMs + LOAD_MS);
        loads.put(load.endpointId(), load.model());
        versions.get(load.endpointId()).put(load.model(), load.version());
        loadCount++;
      }
    }

    private void run(Map<String, List<String>> shares, Map<String, Integer> announced, long nowMs) {
      for (String id : endpoints) {
        if (loadsUntilMs.getOrDefault(id, 0L) > nowMs) {
          continue;
        }
        double[] oldest = null;
        for (String model : MODELS) {
          boolean serves =
              shares.get(model).contains(id)
                  && versions.get(id).getOrDefault(model, 0)
                      >= announced.getOrDefault(model, 0) - 1;
          if (serves && !batches.get(model).isEmpty()) {
            double[] batch = batches.get(model).get(0);
            oldest = oldest == null || batch[1] < oldest[1] ? batch : oldest;
          }
        }
        if (oldest != null) {
          oldest[0] -= EVENTS_PER_ENDPOINT_MS * TICK_MS;
        }
      }
      for (List<double[]> open : batches.values()) {
        if (!open.isEmpty() && open.get(0)[0] <= 0) {
          double elapsedMs = nowMs - open.remove(0)[1];
          steps++;
          inTime += elapsedMs <= DUE_MS ? 1 : 0;
          durationMs += elapsedMs;
        }
      }
    }
  }
}
