package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which waiting items of a batch get a free slot.
 *
 * <p>The submitter waits for whole groups, and a group is whole when its longest item is. The time
 * of a batch is thus bounded by its longest items, which go first, by the submitter's estimate less
 * what has been made. Items of equal length go by their group, the one with the fewest unfinished
 * items first, so that groups become whole one after the other and their prompt is read once.
 *
 * <p>Load that it answers: more items than slots, with lengths that differ by an order of
 * magnitude.
 */
public final class ItemOrder {
  /** A text that has passed its estimate makes about half as much again. */
  private static final int TAIL_DIVISOR = 2;

  /** How many tokens an event stands for when an estimate is compared with what was made. */
  private final int tokensPerEvent;

  /**
   * Creates an order.
   *
   * @param tokensPerEvent the usual number of tokens of one event, over 0
   */
  public ItemOrder(int tokensPerEvent) {
    this.tokensPerEvent = tokensPerEvent;
  }

  /**
   * Returns the waiting items of a batch in the order in which they go.
   *
   * @param batch the batch
   * @param nowMs the monotonic time in milliseconds
   */
  public List<ItemProgress> waiting(OpenBatch batch, long nowMs) {
    List<ItemProgress> waiting = new ArrayList<>();
    Map<String, Integer> unfinished = new HashMap<>();
    for (ItemProgress item : batch.items()) {
      if (!item.isFinished()) {
        unfinished.merge(item.item().group(), 1, Integer::sum);
      }
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
   * Returns the estimate of what an item has still to make.
   *
   * @param item the item
   * @return tokens, 0 when the estimate was exceeded or there is none
   */
  public int remainingTokens(ItemProgress item) {
    return Math.max(0, item.item().lengthHint() - item.text().lastEvent() * tokensPerEvent);
  }

  /**
   * Returns what a running item is expected to make still. Lengths have a long tail: an item that
   * has passed its estimate is one of the long ones, and the more it has made, the more follows.
   *
   * @param item the item
   * @return tokens
   */
  public int expectedTokens(ItemProgress item) {
    int made = item.text().lastEvent() * tokensPerEvent;
    return Math.max(remainingTokens(item), made / TAIL_DIVISOR);
  }
}
