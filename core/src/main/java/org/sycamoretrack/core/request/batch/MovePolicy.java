package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which runs leave a slow endpoint for a faster one.
 *
 * <p>A run that moves goes on after its last event; it costs reading its prompt and text again,
 * some milliseconds, and the time until the new endpoint begins. So a run moves only when its
 * endpoint works at half the median speed or less, when it has made events for a while, and when a
 * slot that no waiting item needs is free at an endpoint of ordinary speed. Those with the most
 * left to make go first.
 *
 * <p>Load that it answers: endpoints that turn slow for seconds while they run the longest items of
 * a batch.
 */
public final class MovePolicy {
  /** Neighbours slow an endpoint down by up to 2.5 for moments, which the smoothed speed halves. */
  private static final double SLOW_FACTOR = 2.0;

  /** Slow for a moment: well above the scatter of single events. */
  private static final double TRANSIENT_SLOW_FACTOR = 1.8;

  /** About a second of work: several moments of slowness, of which each move saves the rest. */
  private static final int MIN_TRANSIENT_MOVE_TOKENS = 1_400;

  /** An endpoint up to this much slower than the median is of ordinary speed. */
  private static final double MAX_TARGET_FACTOR = 1.3;

  /** A run that began later shows the start of its endpoint more than its speed. */
  private static final long MIN_RUN_MS = 300;

  /** Creates the policy. */
  public MovePolicy() {}

  /**
   * A run.
   *
   * @param id names it for the caller
   * @param slowdown how much slower than the median its endpoint has worked for about a second
   * @param currentSlowdown how much slower it works right now
   * @param runMs how long it has run, in milliseconds
   * @param remainingTokens the estimate of what it has still to make
   */
  public record Run(
      int id, double slowdown, double currentSlowdown, long runMs, int remainingTokens) {
    private boolean isSlow() {
      boolean slowForAMoment =
          currentSlowdown >= TRANSIENT_SLOW_FACTOR && remainingTokens >= MIN_TRANSIENT_MOVE_TOKENS;
      return runMs >= MIN_RUN_MS && (slowdown >= SLOW_FACTOR || slowForAMoment);
    }
  }

  /**
   * Returns the runs that move.
   *
   * @param runs the runs of a batch
   * @param freeSlots the free slots of each endpoint that may take them, with its slowness
   * @param waitingItems the items that wait for a slot
   * @return the ids of the runs
   */
  public List<Integer> moves(List<Run> runs, List<FreeSlots> freeSlots, int waitingItems) {
    int free =
        freeSlots.stream()
            .filter(slots -> slots.slowdown() <= MAX_TARGET_FACTOR)
            .mapToInt(FreeSlots::count)
            .sum();
    int most = Math.max(0, free - waitingItems);
    List<Run> slow = new ArrayList<>();
    for (Run run : runs) {
      if (run.isSlow()) {
        slow.add(run);
      }
    }
    slow.sort(Comparator.comparingInt(run -> -run.remainingTokens()));
    return slow.stream().limit(most).map(Run::id).toList();
  }

  /**
   * The free slots of an endpoint.
   *
   * @param count how many
   * @param slowdown how much slower than the median it works
   */
  public record FreeSlots(int count, double slowdown) {}
}
