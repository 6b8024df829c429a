package org.sycamoretrack.core.request.scoring;

import java.util.Comparator;
import java.util.List;

/**
 * The order in which texts are scored while slots of the scoring service are scarce.
 *
 * <p>First calls go before repetitions, so that a call that always fails holds up no other. Among
 * equals, the text whose group has the fewest unfinished items goes first, since a submitter waits
 * for complete groups; then the one that has waited longest.
 *
 * <p>Designed for bursts: the texts of a step end together, and the service has fewer slots than
 * there are texts.
 */
public final class ScoreOrder {
  private ScoreOrder() {}

  /**
   * A text that waits for its score.
   *
   * @param <T> the type of the text
   * @param text the text
   * @param progress its progress
   * @param unfinishedInGroup the number of items of its group that have no result yet
   */
  public record Candidate<T>(T text, ScoreProgress progress, int unfinishedInGroup) {}

  /**
   * Returns the texts in the order in which they are to be scored.
   *
   * @param <T> the type of the texts
   * @param candidates the texts that wait for their score
   * @param nowMs the monotonic time in milliseconds
   */
  public static <T> List<T> sort(List<Candidate<T>> candidates, long nowMs) {
    Comparator<Candidate<T>> order =
        Comparator.comparingInt((Candidate<T> each) -> each.progress().unsuccessfulCalls())
            .thenComparingInt(Candidate::unfinishedInGroup)
            .thenComparingLong(each -> -each.progress().elapsedMs(nowMs));
    return candidates.stream().sorted(order).map(Candidate::text).toList();
  }
}
