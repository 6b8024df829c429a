package org.sycamoretrack.core.request.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The state of a batch at its owner: which items wait, run or are finished, and which results are
 * listed.
 *
 * <p>A result gets its position when it is put into a commit. One commit is under way at a time and
 * is repeated unchanged until its outcome is known, so positions are given once and in order:
 *
 * <pre>
 * listed results 0..n-1 | commit under way n..m-1 | finished, not yet in a commit
 * </pre>
 *
 * <p>Invariants: each item has one result at most; a listed result never changes; nothing is shown
 * to readers before its commit is known to have taken effect.
 */
public final class OpenBatch {
  private final BatchSubmission submission;
  private final List<ItemProgress> items = new ArrayList<>();
  private final List<ItemResult> uncommittedResults = new ArrayList<>();
  private List<ItemResult> committing = List.of();
  private int listed;

  /**
   * Opens a batch.
   *
   * @param submission the batch
   * @param listedItemIds the items whose results are listed already
   */
  public OpenBatch(BatchSubmission submission, Collection<String> listedItemIds) {
    this.submission = submission;
    this.listed = listedItemIds.size();
    Set<String> done = new HashSet<>(listedItemIds);
    for (BatchItem item : submission.items()) {
      items.add(new ItemProgress(item, done.contains(item.id())));
    }
  }

  /** Returns the batch as it was accepted. */
  public BatchSubmission submission() {
    return submission;
  }

  /** Returns all items with their progress, in the order of the submission. */
  public List<ItemProgress> items() {
    return items;
  }

  /**
   * Returns the number of items that wait for an endpoint.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public int waitingCount(long nowMs) {
    return (int) items.stream().filter(item -> item.isWaiting(nowMs)).count();
  }

  /** Returns the results of the commit under way, empty when there is none. */
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
   * Notes the result of an item.
   *
   * @param item the item; nothing happens when it has a result already
   * @param result its result
   */
  public void finish(ItemProgress item, ItemResult result) {
    if (item.finish()) {
      uncommittedResults.add(result);
    }
  }

  /**
   * Returns the results of the next commit.
   *
   * @param maxCount how many results it may have
   * @param maxBytes how large it may be; one result goes in any case
   * @param sizeBytes the size of a result
   * @return the results from position {@link #listed()} on; empty when a commit is under way or
   *     nothing is finished
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

  /** Notes that the commit under way took effect. */
  public void onCommitted() {
    listed += committing.size();
    committing = List.of();
  }
}
