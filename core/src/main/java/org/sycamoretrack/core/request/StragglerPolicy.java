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
 * Decides which late samples of a step go on at another endpoint.
 *
 * <p>A step ends with its slowest sample. A sample whose endpoint takes {@value #STRAGGLER_FACTOR}
 * times as long for a token as the median of the endpoints in use is late: its attempt is
 * cancelled, and a new attempt continues from the tokens made so far (from none, with the same
 * seed, when there are none yet) on the least busy endpoint that works normally and serves the same
 * weights. A sample never has two attempts that race, so the choice of the winner can't favour
 * short answers, and the distribution of samples stays as it was.
 *
 * <p>Samples also move from an endpoint that runs more than twice as many requests as another, few
 * at a time, so that an endpoint that recovered takes its part again.
 *
 * <p>A move is worth it when the time that it saves on the tokens still expected is {@value
 * #GAIN_FACTOR} times its cost. Lengths of samples have a heavy tail: a sample that has made many
 * tokens is expected to make about half as many again. So the samples that are furthest go first.
 *
 * <p>A move costs the token under way and the reading of the tokens made so far, which takes an
 * engine about a twentieth of the time of making them. The sum of these is bounded by a share of
 * the tokens of the step; a part of it is kept for the tail, where a step's end is decided.
 *
 * <p>Example: samples 1 and 2 are left, each with 600 tokens; 1 runs at 100 ms a token, 2 at 30 ms;
 * the median is 25 ms. Sample 1 moves, since its expected 300 tokens save 22 s and cost 0.1 s;
 * sample 2 is not late.
 */
public final class StragglerPolicy {
  /** The share of a step's tokens that moves may cost unless set otherwise. */
  public static final double DEFAULT_BUDGET_SHARE = 0.05;

  /** What reading a token again costs, in tokens made. */
  public static final double PREFILL_COST = 0.05;

  private static final double TAIL_SHARE = 0.15;
  private static final double BUDGET_SHARE_BEFORE_TAIL = 0.5;
  private static final int REBALANCE_SLACK_REQUESTS = 4;
  private static final int MAX_REBALANCE_MOVES_PER_TARGET = 2;
  private static final double STRAGGLER_FACTOR = 2.5;
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
   * @param budgetShare the share of a step's tokens that moves may cost
   */
  public StragglerPolicy(double budgetShare) {
    this.budgetShare = budgetShare;
  }

  /**
   * A sample that is not finished.
   *
   * @param slot its slot in the step
   * @param endpoint where it runs
   * @param tokens the tokens made so far
   * @param maxTokens the most tokens that it may make
   * @param weightVersion the weights that make it now
   * @param timePerTokenMs the time for a token on its endpoint now
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
   * An endpoint in use.
   *
   * @param endpoint its name
   * @param running how many requests run there
   * @param freeSlots how many more samples it may run, 0 for none
   * @param weightVersion the weights that it serves
   * @param timePerTokenMs the time for a token there
   */
  public record SpareEndpoint(
      String endpoint, int running, int freeSlots, long weightVersion, double timePerTokenMs) {}

  /**
   * A step now.
   *
   * @param slots all its samples
   * @param running its samples that run
   * @param queuedSamples its samples that wait for a slot
   * @param tokensMade the tokens of all its samples so far
   * @param moveCostTokens the sum of {@link #costTokens} of its moves so far
   */
  public record StepProgress(
      int slots,
      List<RunningSample> running,
      int queuedSamples,
      long tokensMade,
      double moveCostTokens) {}

  /**
   * The order to cancel a sample's attempt and continue it elsewhere.
   *
   * @param slot the slot of the sample
   * @param fromEndpoint where it is cancelled
   * @param toEndpoint where it continues
   * @param fromToken the tokens that are kept
   */
  public record Move(int slot, String fromEndpoint, String toEndpoint, int fromToken) {}

  /**
   * Returns what a move costs, in tokens made.
   *
   * @param fromToken the tokens that are kept and read again
   */
  public static double costTokens(int fromToken) {
    return 1 + PREFILL_COST * fromToken;
  }

  /**
   * Returns the moves that are worth their cost, largest saving first.
   *
   * @param step the step now
   * @param spares the endpoints in use, those without free slots too
   * @return the moves; no more than there are free slots beyond the samples that wait for one
   */
  public List<Move> decide(StepProgress step, List<SpareEndpoint> spares) {
    return new Planner(step, spares).plan(budgetTokens(step));
  }

  private double budgetTokens(StepProgress step) {
    int open = step.running().size() + step.queuedSamples();
    double part = open <= TAIL_SHARE * step.slots() ? 1 : BUDGET_SHARE_BEFORE_TAIL;
    return part * budgetShare * step.tokensMade() - step.moveCostTokens();
  }

  /**
   * The state of one call of {@link #plan}.
   *
   * <p>Targets are kept in the order of what they run, so that a step of thousands of samples on
   * thousands of endpoints is decided on in one pass over both.
   */
  private static final class Planner {
    final StepProgress step;
    final double medianMs;
    final int maxMoves;
    final Map<String, Integer> runningByEndpoint = new HashMap<>();
    final Map<String, SpareEndpoint> endpointsByName = new HashMap<>();
    final Map<String, Integer> movesByTarget = new HashMap<>();
    final Map<Long, NavigableSet<SpareEndpoint>> targetsByVersion = new HashMap<>();
    final List<Move> moves = new ArrayList<>();

    Planner(StepProgress step, List<SpareEndpoint> spares) {
      this.step = step;
      this.medianMs = medianMs(spares);
      int freeSlots = spares.stream().mapToInt(SpareEndpoint::freeSlots).sum();
      this.maxMoves = freeSlots - step.queuedSamples();
      for (SpareEndpoint spare : spares) {
        runningByEndpoint.put(spare.endpoint(), spare.running());
        endpointsByName.put(spare.endpoint(), spare);
      }
      for (SpareEndpoint spare : spares) {
        if (spare.freeSlots() > 0 && spare.timePerTokenMs() <= MAX_TARGET_FACTOR * medianMs) {
          targets(spare.weightVersion()).add(spare);
        }
      }
    }

    private NavigableSet<SpareEndpoint> targets(long weightVersion) {
      return targetsByVersion.computeIfAbsent(
          weightVersion,
          version ->
              new TreeSet<>(
                  Comparator.<SpareEndpoint>comparingInt(
                          spare -> runningByEndpoint.get(spare.endpoint()))
                      .thenComparing(SpareEndpoint::endpoint)));
    }

    List<Move> plan(double budgetTokens) {
      double leftTokens = budgetTokens;
      for (RunningSample sample : candidates()) {
        double costTokens = costTokens(sample.tokens());
        if (moves.size() < maxMoves && costTokens <= leftTokens) {
          Optional<SpareEndpoint> target = findTarget(sample);
          target.ifPresent(spare -> addMove(sample, spare));
          leftTokens -= target.isPresent() ? costTokens : 0;
        }
      }
      return moves;
    }

    /** Returns the samples that may move, those with the most time left first. */
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
      NavigableSet<SpareEndpoint> targets = targets(sample.weightVersion());
      return !targets.isEmpty() && improvesBalance(targets.first(), sample);
    }

    private void addMove(RunningSample sample, SpareEndpoint target) {
      NavigableSet<SpareEndpoint> targets = targets(sample.weightVersion());
      targets.remove(target);
      runningByEndpoint.merge(target.endpoint(), 1, Integer::sum);
      if (movesByTarget.merge(target.endpoint(), 1, Integer::sum) < target.freeSlots()) {
        targets.add(target);
      }
      removeFromSource(sample, targets);
      moves.add(new Move(sample.slot(), sample.endpoint(), target.endpoint(), sample.tokens()));
    }

    /** Counts a sample out of its endpoint, which may be a target itself. */
    private void removeFromSource(RunningSample sample, Set<SpareEndpoint> targets) {
      SpareEndpoint source = endpointsByName.get(sample.endpoint());
      if (source == null) {
        return;
      }
      boolean wasTarget = targets.remove(source);
      runningByEndpoint.merge(sample.endpoint(), -1, Integer::sum);
      if (wasTarget) {
        targets.add(source);
      }
    }

    private Optional<SpareEndpoint> findTarget(RunningSample sample) {
      boolean late = isStraggler(sample);
      for (SpareEndpoint target : targets(sample.weightVersion())) {
        boolean other = !target.endpoint().equals(sample.endpoint());
        if (!late && !improvesBalance(target, sample)) {
          return Optional.empty();
        }
        if (other
            && (late
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

    private boolean improvesBalance(SpareEndpoint target, RunningSample sample) {
      int source = runningByEndpoint.getOrDefault(sample.endpoint(), 0);
      return source > 2 * runningByEndpoint.get(target.endpoint()) + REBALANCE_SLACK_REQUESTS
          && isWorthwhile(sample, sample.timePerTokenMs() - target.timePerTokenMs());
    }
  }

  private static double medianMs(List<SpareEndpoint> spares) {
    double[] sorted = spares.stream().mapToDouble(SpareEndpoint::timePerTokenMs).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }

  private static boolean isWorthwhile(RunningSample sample, double savedPerTokenMs) {
    double costMs = MOVE_OVERHEAD_MS + PREFILL_MS_PER_TOKEN * sample.tokens();
    return sample.expectedRemainingTokens() * savedPerTokenMs > GAIN_FACTOR * costMs;
  }
}
