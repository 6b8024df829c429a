package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which late samples of a step go on at another endpoint.
 *
 * <p>In the tail of a step, when there are fewer samples left than slots, the step ends with its
 * slowest sample. A sample on an endpoint that is slow now is moved to the fastest one with a free
 * slot that serves the same weights: its attempt is cancelled, and a new attempt continues from the
 * tokens made so far (from none, with the same seed, when there are none yet). A sample never has
 * two attempts that race, so the choice of the winner can't favour short answers, and the
 * distribution of samples stays as it was.
 *
 * <p>A move costs the tokens in flight that are thrown away and the prompt and tokens that the new
 * endpoint reads again. The sum of these is bounded by a share of the tokens of the step.
 *
 * <p>Example: samples 1 and 2 are left; 1 runs at 100 ms a token, 2 at 20 ms; a free endpoint
 * offers 22 ms. Sample 1 moves, since its expected 300 tokens save 23 s and cost 0.2 s; sample 2
 * stays.
 */
public final class StragglerPolicy {
  /** The share of a step's tokens that moves may cost unless set otherwise. */
  public static final double DEFAULT_BUDGET_SHARE = 0.05;

  private static final double MIN_SPEEDUP = 1.5;

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
   * @param weightVersion the weights that make it now
   * @param timePerTokenMs the time for a token on its endpoint now
   * @param moves how often it was moved
   */
  public record RunningSample(
      int slot,
      String endpoint,
      int tokens,
      long weightVersion,
      double timePerTokenMs,
      int moves) {}

  /**
   * An endpoint with free slots.
   *
   * @param endpoint its name
   * @param freeSlots how many more samples it may run
   * @param weightVersion the weights that it serves
   * @param timePerTokenMs the time for a token there
   */
  public record SpareEndpoint(
      String endpoint, int freeSlots, long weightVersion, double timePerTokenMs) {}

  /**
   * A step now.
   *
   * @param running its samples that run
   * @param queuedSamples its samples that wait for a slot
   * @param tokensMade the tokens of all its samples so far
   * @param movedTokens what its moves have cost so far
   */
  public record StepProgress(
      List<RunningSample> running, int queuedSamples, long tokensMade, long movedTokens) {}

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
   * Returns the moves that are worth their cost, slowest sample first.
   *
   * @param step the step now
   * @param spares the endpoints with free slots
   * @return the moves; empty while samples of the step still wait for slots
   */
  public List<Move> decide(StepProgress step, List<SpareEndpoint> spares) {
    if (step.queuedSamples() > 0) {
      return List.of();
    }
    double budgetTokens = budgetShare * step.tokensMade() - step.movedTokens();
    Map<String, Integer> taken = new HashMap<>();
    List<Move> moves = new ArrayList<>();
    List<RunningSample> slowestFirst =
        step.running().stream()
            .sorted(Comparator.comparingDouble(RunningSample::timePerTokenMs).reversed())
            .toList();
    for (RunningSample sample : slowestFirst) {
      Optional<SpareEndpoint> target = target(sample, spares, taken);
      if (target.isPresent() && sample.tokens() <= budgetTokens) {
        budgetTokens -= sample.tokens();
        String endpoint = target.get().endpoint();
        taken.merge(endpoint, 1, Integer::sum);
        moves.add(new Move(sample.slot(), sample.endpoint(), endpoint, sample.tokens()));
      }
    }
    return moves;
  }

  private static Optional<SpareEndpoint> target(
      RunningSample sample, List<SpareEndpoint> spares, Map<String, Integer> taken) {
    return spares.stream()
        .filter(spare -> !spare.endpoint().equals(sample.endpoint()))
        .filter(spare -> spare.weightVersion() == sample.weightVersion())
        .filter(spare -> taken.getOrDefault(spare.endpoint(), 0) < spare.freeSlots())
        .filter(spare -> spare.timePerTokenMs() * MIN_SPEEDUP < sample.timePerTokenMs())
        .min(Comparator.comparingDouble(SpareEndpoint::timePerTokenMs));
  }
}
