package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The order in which the waiting items of a batch are assigned to free slots of endpoints: longest
 * first.
 *
 * <p>The submitter waits for complete groups, and a group completes with its longest item. The
 * longest items thus determine the duration of a batch, so the items with the most remaining tokens
 * go first: the estimate of the submitter minus the tokens generated so far. Items of equal length
 * are ordered by group, the group with the fewest unfinished items first, so that groups complete
 * one after the other and the prompt of a group is read once.
 *
 * <p>The order is designed for batches with more items than slots and lengths that differ by an
 * order of magnitude.
 */
public final class LongestFirstOrder {
  /**
   * A text that has exceeded its estimate is expected to grow by about half of its length again.
   */
  private static final int TAIL_DIVISOR = 2;

  /** Converts the number of generated events to tokens. */
  private final int tokensPerEvent;

  /**
   * Creates an order.
   *
   * @param tokensPerEvent the typical number of tokens in one event, above 0
   */
  public LongestFirstOrder(int tokensPerEvent) {
    this.tokensPerEvent = tokensPerEvent;
  }

  /**
   * Returns the waiting items of a batch in the order in which they are to run.
   *
   * @param batch the batch
   * @param nowMs the monotonic time in milliseconds
   */
  public List<ItemProgress> waiting(OpenBatch batch, long nowMs) {
    List<ItemProgress> waiting = new ArrayList<>();
    Map<String, Integer> unfinished = batch.unfinishedByGroup();
    for (ItemProgress item : batch.items()) {
      if (item.isWaiting(nowMs)) {
        waiting.add(item);
      }
    }
    waiting.sort(
        Comparator.comparingInt((ItemProgress item) -> -remainingTokens(item))
            .thenComparingInt(item -> unfinished.get(item.item().group()))
            .thenComparingInt(item -> item.item().index()));
    return waiting;
  }

  /**
   * Returns the estimated number of tokens that an item has yet to generate.
   *
   * @param item the item
   * @return the number of tokens; 0 if the estimate is missing or exceeded
   */
  public int remainingTokens(ItemProgress item) {
    return Math.max(0, item.item().lengthHint() - item.text().lastEvent() * tokensPerEvent);
  }

  /**
   * Returns the expected number of tokens that a running item has yet to generate. Lengths are
   * heavy-tailed: an item that has exceeded its estimate is one of the long ones, and the more
   * tokens it has generated, the more are expected to follow.
   *
   * @param item the item
   * @return the number of tokens
   */
  public int expectedTokens(ItemProgress item) {
    int generatedTokens = item.text().lastEvent() * tokensPerEvent;
    return Math.max(remainingTokens(item), generatedTokens / TAIL_DIVISOR);
  }
}
