package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The state of a batch, kept by its owner node: which items are waiting, running or finished, and
 * which results are listed.
 *
 * <p>A result gets its position in the list when it is added to a commit. One commit is in progress
 * at a time and is retried unchanged until its outcome is known, so that positions are assigned
 * once and in order:
 *
 * <pre>
 * listed results 0..n-1 | commit in progress n..m-1 | finished, not yet in a commit
 * </pre>
 *
 * <p>Invariants: each item has at most one result; a listed result never changes; no result is
 * visible to readers before its commit is known to have succeeded.
 */
public final class OpenBatch {
  private final BatchSubmission submission;
  private final List<ItemProgress> items = new ArrayList<>();
  private final List<ItemResult> uncommittedResults = new ArrayList<>();
  private List<ItemResult> committing = List.of();
  private int listed;

  /**
   * Creates the state of a batch.
   *
   * @param submission the accepted batch
   * @param listedItemIds the ids of the items whose results are already listed
   */
  public OpenBatch(BatchSubmission submission, Collection<String> listedItemIds) {
    this.submission = submission;
    this.listed = listedItemIds.size();
    Set<String> listedIds = new HashSet<>(listedItemIds);
    for (BatchItem item : submission.items()) {
      items.add(new ItemProgress(item, listedIds.contains(item.id())));
    }
  }

  /** Returns the accepted batch. */
  public BatchSubmission submission() {
    return submission;
  }

  /** Returns all items with their progress, in the order of the submission. */
  public List<ItemProgress> items() {
    return items;
  }

  /**
   * Returns the number of items that are ready to run on an endpoint.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public int waitingCount(long nowMs) {
    return (int) items.stream().filter(item -> item.isWaiting(nowMs)).count();
  }

  /** Returns the number of items whose text is complete and not scored yet. */
  public int scoringCount() {
    return (int) items.stream().filter(item -> item.scoring().isPresent()).count();
  }

  /** Returns the number of items without a result by the name of their group. */
  public Map<String, Integer> unfinishedByGroup() {
    Map<String, Integer> unfinished = new HashMap<>();
    for (ItemProgress item : items) {
      if (!item.isFinished()) {
        unfinished.merge(item.item().group(), 1, Integer::sum);
      }
    }
    return unfinished;
  }

  /** Returns the results of the commit in progress; empty if there is none. */
  public List<ItemResult> committing() {
    return committing;
  }

  /** Returns the number of listed results. */
  public int listed() {
    return listed;
  }

  /** Returns whether every item has a listed result. */
  public boolean isComplete() {
    return listed == items.size();
  }

  /**
   * Records the result of an item.
   *
   * @param item the item; ignored if it already has a result
   * @param result the result of the item
   */
  public void finish(ItemProgress item, ItemResult result) {
    if (item.finish()) {
      uncommittedResults.add(result);
    }
  }

  /**
   * Starts the next commit.
   *
   * @param maxCount the largest number of results in the commit
   * @param maxBytes the size of the commit above which no further result is added
   * @param sizeBytes returns the size of a result
   * @return the results, whose positions start at {@link #listed()}; empty if a commit is in
   *     progress or no finished result is waiting
   */
  public List<ItemResult> beginCommit(
      int maxCount, int maxBytes, ToIntFunction<ItemResult> sizeBytes) {
    if (!committing.isEmpty() || uncommittedResults.isEmpty()) {
      return List.of();
    }
    int count = 0;
    int bytes = 0;
    while (count < Math.min(uncommittedResults.size(), maxCount)
        && (count == 0 || bytes <= maxBytes)) {
      bytes += sizeBytes.applyAsInt(uncommittedResults.get(count));
      count++;
    }
    committing = List.copyOf(uncommittedResults.subList(0, count));
    uncommittedResults.subList(0, count).clear();
    return committing;
  }

  /** Records that the commit in progress succeeded. */
  public void onCommitted() {
    listed += committing.size();
    committing = List.of();
  }
}
