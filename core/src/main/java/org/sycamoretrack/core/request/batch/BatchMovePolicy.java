package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sycamoretrack.core.connection.SlotTracker;

/**
 * Selects the runs of batch items that are moved from a slow endpoint to a faster one.
 *
 * <p>A moved run continues after its last event. A move costs the prefill of the prompt and the
 * text so far, which takes some milliseconds, and the time until the new endpoint generates. A run
 * therefore moves only if its endpoint is slow, it has run long enough for the measured speed to be
 * meaningful, and an endpoint of normal speed has a free slot that no waiting item needs. An
 * endpoint is slow if its speed is half of the median or less, or, for a long run, if it is slow at
 * the moment. The runs with the most remaining tokens move first.
 *
 * <p>The policy is designed for endpoints that become slow for seconds while they run the longest
 * items of a batch.
 */
public final class BatchMovePolicy {
  /**
   * The smoothed slowdown from which an endpoint counts as slow. Noisy neighbours slow an endpoint
   * down by a factor of up to 2.5 for short times; smoothing halves this effect.
   */
  private static final double SLOW_FACTOR = 2.0;

  /**
   * The fewest remaining tokens for which a run moves away from a transient slowdown. This is about
   * a second of work, which spans several transient slowdowns; each move avoids the rest of one.
   */
  private static final int MIN_TRANSIENT_MOVE_TOKENS = 1_400;

  /** The largest slowdown at which an endpoint counts as having normal speed. */
  private static final double MAX_TARGET_FACTOR = 1.3;

  /** The measured speed of a younger run reflects the start-up time more than the endpoint. */
  private static final long MIN_RUN_MS = 300;

  /** Creates the policy. */
  public BatchMovePolicy() {}

  /**
   * A run of an item.
   *
   * @param id the id of the run, chosen by the caller
   * @param slowdown the median speed divided by the speed of the endpoint, smoothed over about a
   *     second
   * @param currentSlowdown the same ratio for the current speed of the endpoint
   * @param runMs how long the item has been running on the endpoint, in milliseconds
   * @param remainingTokens the estimated number of tokens that the item has yet to generate
   */
  public record Run(
      int id, double slowdown, double currentSlowdown, long runMs, int remainingTokens) {
    private boolean isSlow() {
      boolean transientlySlow =
          currentSlowdown >= SlotTracker.TRANSIENT_SLOW_FACTOR
              && remainingTokens >= MIN_TRANSIENT_MOVE_TOKENS;
      return runMs >= MIN_RUN_MS && (slowdown >= SLOW_FACTOR || transientlySlow);
    }
  }

  /**
   * Returns the runs to move.
   *
   * @param runs the runs of a batch
   * @param freeSlots the free slots of each candidate endpoint
   * @param waitingItems the number of items waiting for a slot
   * @return the ids of the runs
   */
  public List<Integer> selectMoves(List<Run> runs, List<FreeSlots> freeSlots, int waitingItems) {
    int free =
        freeSlots.stream()
            .filter(slots -> slots.slowdown() <= MAX_TARGET_FACTOR)
            .mapToInt(FreeSlots::count)
            .sum();
    int maxMoves = Math.max(0, free - waitingItems);
    List<Run> slowRuns = new ArrayList<>();
    for (Run run : runs) {
      if (run.isSlow()) {
        slowRuns.add(run);
      }
    }
    slowRuns.sort(Comparator.comparingInt(run -> -run.remainingTokens()));
    return slowRuns.stream().limit(maxMoves).map(Run::id).toList();
  }

  /**
   * The free slots of an endpoint.
   *
   * @param count the number of free slots
   * @param slowdown the median speed divided by the speed of the endpoint
   */
  public record FreeSlots(int count, double slowdown) {}
}
