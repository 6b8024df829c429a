package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the samples of a step that are moved to another endpoint because their own is slow or
 * crowded.
 *
 * <p>A step takes as long as its slowest sample. A sample is a straggler if the time per token on
 * its endpoint is at least {@value #STRAGGLER_FACTOR} times the median of the endpoints in use. Its
 * attempt is cancelled, and a new attempt continues from the tokens generated so far (or starts
 * again with the same seed if there are none) on the least busy endpoint that has normal speed and
 * serves the same weights. Two attempts of a sample never race, because the faster attempt would
 * tend to be the shorter one and bias the distribution of samples.
 *
 * <p>Samples also move, a few at a time, from an endpoint that runs more than twice as many
 * requests as another, so that a recovered endpoint gets its share of the load again.
 *
 * <p>A move is worthwhile if the time that it saves on the tokens still expected is more than
 * {@value #GAIN_FACTOR} times its cost. The lengths of samples are heavy-tailed: a sample that has
 * generated many tokens is expected to generate about half as many again. The samples with the most
 * expected time left therefore move first.
 *
 * <p>A move costs the token in progress and the prefill of the tokens generated so far, which takes
 * an engine about a twentieth of the time of generating them. The total cost is limited to a share
 * of the tokens of the step. A part of this budget is reserved for the tail, the last samples of a
 * step, which determine when the step ends.
 *
 * <p>Example: samples 1 and 2 are left, each with 600 tokens; 1 runs at 100 ms per token, 2 at 30
 * ms; the median is 25 ms. Sample 1 moves, since the move saves 22 s on its expected 300 tokens and
 * costs 0.1 s; sample 2 is not a straggler.
 */
public final class StragglerPolicy {
  /** The default share of the tokens of a step that moves may cost. */
  public static final double DEFAULT_BUDGET_SHARE = 0.05;

  /** The cost of the prefill of one token, relative to generating one. */
  public static final double PREFILL_COST = 0.05;

  /** A step is in its tail when at most this share of its samples is unfinished. */
  private static final double TAIL_SHARE = 0.15;

  /** The share of the budget that moves may use before the tail. */
  private static final double BUDGET_SHARE_BEFORE_TAIL = 0.5;

  /** How many requests above twice the load of the target a source must run to be crowded. */
  private static final int REBALANCE_SLACK_REQUESTS = 4;

  private static final int MAX_REBALANCE_MOVES_PER_TARGET = 2;
  private static final double STRAGGLER_FACTOR = 2.5;

  /** The largest ratio of the time per token of a target to the median. */
  private static final double MAX_TARGET_FACTOR = 1.5;

  private static final double GAIN_FACTOR = 2;
  private static final double EXPECTED_REMAINING_SHARE = 0.5;
  private static final int MIN_EXPECTED_REMAINING_TOKENS = 50;
  private static final double MOVE_OVERHEAD_MS = 100;
  private static final double PREFILL_MS_PER_TOKEN = 0.05;

  private final double budgetShare;

  /** Creates a policy with the default budget. */
  public StragglerPolicy() {
    this(DEFAULT_BUDGET_SHARE);
  }

  /**
   * Creates a policy.
   *
   * @param budgetShare the share of the tokens of a step that moves may cost
   */
  public StragglerPolicy(double budgetShare) {
    this.budgetShare = budgetShare;
  }

  /**
   * A running sample.
   *
   * @param slot the slot of the sample in the step
   * @param endpoint the endpoint that runs the sample
   * @param tokens the number of tokens generated so far
   * @param maxTokens the largest number of tokens of the sample
   * @param weightVersion the weight version that the endpoint serves
   * @param timePerTokenMs the current time per token on the endpoint
   */
  public record RunningSample(
      int slot,
      String endpoint,
      int tokens,
      int maxTokens,
      long weightVersion,
      double timePerTokenMs) {
    private double expectedRemainingTokens() {
      double expected = Math.max(MIN_EXPECTED_REMAINING_TOKENS, EXPECTED_REMAINING_SHARE * tokens);
      return Math.min(expected, (double) maxTokens - tokens);
    }
  }

  /**
   * An endpoint in use, with or without free slots.
   *
   * @param endpoint the name of the endpoint
   * @param running the number of requests running on the endpoint
   * @param freeSlots how many more samples the endpoint may run
   * @param weightVersion the weight version that the endpoint serves
   * @param timePerTokenMs the current time per token on the endpoint
   */
  public record EndpointStatus(
      String endpoint, int running, int freeSlots, long weightVersion, double timePerTokenMs) {}

  /**
   * The progress of a step.
   *
   * @param slots the number of samples of the step
   * @param running the running samples
   * @param queuedSamples the number of samples waiting for a free slot of an endpoint
   * @param tokensMade the number of tokens generated so far by all samples
   * @param moveCostTokens the sum of {@link #costTokens} of the moves so far
   */
  public record StepProgress(
      int slots,
      List<RunningSample> running,
      int queuedSamples,
      long tokensMade,
      double moveCostTokens) {}

  /**
   * An instruction to cancel the attempt of a sample and continue it on another endpoint.
   *
   * @param slot the slot of the sample
   * @param fromEndpoint the endpoint on which the attempt is cancelled
   * @param toEndpoint the endpoint on which the sample continues
   * @param fromToken the number of tokens that are kept
   */
  public record Move(int slot, String fromEndpoint, String toEndpoint, int fromToken) {}

  /**
   * Returns the cost of a move, as an equivalent number of generated tokens.
   *
   * @param fromToken the number of tokens that are kept and need a prefill on the new endpoint
   */
  public static double costTokens(int fromToken) {
    return 1 + PREFILL_COST * fromToken;
  }

  /**
   * Returns the moves that are worth their cost, those of the samples with the most expected time
   * left first.
   *
   * @param step the progress of the step
   * @param endpoints the endpoints in use, including those without free slots
   * @return the moves, at most as many as there are free slots beyond those needed by queued
   *     samples
   */
  public List<Move> selectMoves(StepProgress step, List<EndpointStatus> endpoints) {
    return new Planner(step, endpoints).plan(budgetTokens(step));
  }

  private double budgetTokens(StepProgress step) {
    int unfinished = step.running().size() + step.queuedSamples();
    double usableShare = unfinished <= TAIL_SHARE * step.slots() ? 1 : BUDGET_SHARE_BEFORE_TAIL;
    return usableShare * budgetShare * step.tokensMade() - step.moveCostTokens();
  }

  /**
   * Plans the moves of one call of {@link StragglerPolicy#selectMoves}.
   *
   * <p>Targets are kept sorted by the number of running requests, so that a step of thousands of
   * samples on thousands of endpoints takes one pass over both.
   */
  private static final class Planner {
    final StepProgress step;
    final double medianMs;
    final int maxMoves;
    final Map<String, Integer> runningByEndpoint = new HashMap<>();
    final Map<String, EndpointStatus> endpointsByName = new HashMap<>();
    final Map<String, Integer> movesByTarget = new HashMap<>();
    final Map<Long, NavigableSet<EndpointStatus>> targetsByVersion = new HashMap<>();
    final List<Move> moves = new ArrayList<>();

    Planner(StepProgress step, List<EndpointStatus> endpoints) {
      this.step = step;
      this.medianMs = medianMs(endpoints);
      int freeSlots = endpoints.stream().mapToInt(EndpointStatus::freeSlots).sum();
      this.maxMoves = freeSlots - step.queuedSamples();
      for (EndpointStatus endpoint : endpoints) {
        runningByEndpoint.put(endpoint.endpoint(), endpoint.running());
        endpointsByName.put(endpoint.endpoint(), endpoint);
      }
      for (EndpointStatus endpoint : endpoints) {
        if (endpoint.freeSlots() > 0 && endpoint.timePerTokenMs() <= MAX_TARGET_FACTOR * medianMs) {
          targets(endpoint.weightVersion()).add(endpoint);
        }
      }
    }

    private NavigableSet<EndpointStatus> targets(long weightVersion) {
      return targetsByVersion.computeIfAbsent(
          weightVersion,
          version ->
              new TreeSet<>(
                  Comparator.<EndpointStatus>comparingInt(
                          endpoint -> runningByEndpoint.get(endpoint.endpoint()))
                      .thenComparing(EndpointStatus::endpoint)));
    }

    List<Move> plan(double budgetTokens) {
      double remainingTokens = budgetTokens;
      for (RunningSample sample : candidates()) {
        double costTokens = costTokens(sample.tokens());
        if (moves.size() < maxMoves && costTokens <= remainingTokens) {
          Optional<EndpointStatus> target = findTarget(sample);
          target.ifPresent(endpoint -> addMove(sample, endpoint));
          remainingTokens -= target.isPresent() ? costTokens : 0;
        }
      }
      return moves;
    }

    /** Returns the samples that may move, those with the most expected time left first. */
    private List<RunningSample> candidates() {
      Comparator<RunningSample> byTimeLeft =
          Comparator.comparingDouble(
              sample -> sample.expectedRemainingTokens() * sample.timePerTokenMs());
      return step.running().stream()
          .filter(sample -> isStraggler(sample) || isOnCrowdedEndpoint(sample))
          .sorted(byTimeLeft.reversed())
          .toList();
    }

    private boolean isOnCrowdedEndpoint(RunningSample sample) {
      NavigableSet<EndpointStatus> targets = targets(sample.weightVersion());
      return !targets.isEmpty() && improvesBalance(targets.first(), sample);
    }

    private void addMove(RunningSample sample, EndpointStatus target) {
      NavigableSet<EndpointStatus> targets = targets(sample.weightVersion());
      targets.remove(target);
      runningByEndpoint.merge(target.endpoint(), 1, Integer::sum);
      if (movesByTarget.merge(target.endpoint(), 1, Integer::sum) < target.freeSlots()) {
        targets.add(target);
      }
      removeFromSource(sample, targets);
      moves.add(new Move(sample.slot(), sample.endpoint(), target.endpoint(), sample.tokens()));
    }

    /** Subtracts a sample from the load of its endpoint, which may itself be a target. */
    private void removeFromSource(RunningSample sample, Set<EndpointStatus> targets) {
      EndpointStatus source = endpointsByName.get(sample.endpoint());
      if (source == null) {
        return;
      }
      boolean wasTarget = targets.remove(source);
      runningByEndpoint.merge(sample.endpoint(), -1, Integer::sum);
      if (wasTarget) {
        targets.add(source);
      }
    }

    private Optional<EndpointStatus> findTarget(RunningSample sample) {
      boolean straggler = isStraggler(sample);
      for (EndpointStatus target : targets(sample.weightVersion())) {
        boolean isOther = !target.endpoint().equals(sample.endpoint());
        if (!straggler && !improvesBalance(target, sample)) {
          return Optional.empty();
        }
        if (isOther
            && (straggler
                || movesByTarget.getOrDefault(target.endpoint(), 0)
                    < MAX_REBALANCE_MOVES_PER_TARGET)) {
          return Optional.of(target);
        }
      }
      return Optional.empty();
    }

    private boolean isStraggler(RunningSample sample) {
      return sample.timePerTokenMs() >= STRAGGLER_FACTOR * medianMs
          && isWorthwhile(sample, sample.timePerTokenMs() - medianMs);
    }

    private boolean improvesBalance(EndpointStatus target, RunningSample sample) {
      int sourceRunning = runningByEndpoint.getOrDefault(sample.endpoint(), 0);
      return sourceRunning > 2 * runningByEndpoint.get(target.endpoint()) + REBALANCE_SLACK_REQUESTS
          && isWorthwhile(sample, sample.timePerTokenMs() - target.timePerTokenMs());
    }
  }

  private static double medianMs(List<EndpointStatus> endpoints) {
    double[] sorted =
        endpoints.stream().mapToDouble(EndpointStatus::timePerTokenMs).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }

  private static boolean isWorthwhile(RunningSample sample, double savedPerTokenMs) {
    double costMs = MOVE_OVERHEAD_MS + PREFILL_MS_PER_TOKEN * sample.tokens();
    return sample.expectedRemainingTokens() * savedPerTokenMs > GAIN_FACTOR * costMs;
  }
}
