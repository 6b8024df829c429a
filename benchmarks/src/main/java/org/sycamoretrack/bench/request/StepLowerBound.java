package org.sycamoretrack.bench.request;

import java.util.stream.IntStream;
import org.sycamoretrack.bench.connection.EngineProfile;

/**
 * A lower bound of the time to complete the samples of a step, for any schedule, even with perfect
 * knowledge of all lengths and engines that are never slowed.
 *
 * <p>On an engine, {@code n} steps that generate {@code t} tokens take {@code n * base + t *
 * slope}. Two bounds follow, of which the larger holds:
 *
 * <ul>
 *   <li>The longest sample needs a step for each of its tokens, alone in its batch at best.
 *   <li>All tokens have to be generated: the engines together need at least as many steps as the
 *       longest sample has tokens, and as all tokens need with full batches.
 * </ul>
 *
 * <p>The prefill is left out, which lowers the bound further.
 */
final class StepLowerBound {
  private StepLowerBound() {}

  static double ms(int[] lengthsTokens, int engines, EngineProfile profile) {
    long totalTokens = IntStream.of(lengthsTokens).asLongStream().sum();
    int longestTokens = IntStream.of(lengthsTokens).max().orElse(0);
    double longestMs = longestTokens * (profile.baseStepMs() + profile.stepMsPerRequest());
    double steps = Math.max(longestTokens, (double) totalTokens / profile.maxBatch());
    double workMs =
        (steps * profile.baseStepMs() + totalTokens * profile.stepMsPerRequest()) / engines;
    return Math.max(longestMs, workMs);
  }
}
