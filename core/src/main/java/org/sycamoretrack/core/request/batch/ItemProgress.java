package org.sycamoretrack.core.request.batch;

import java.util.Optional;
import org.sycamoretrack.core.request.scoring.ScoreProgress;

/**
 * The progress of an item of an open batch.
 *
 * <p>An item waits, runs on an endpoint, and has a result. An item with a scoring request is scored
 * between the end of its last run and its result:
 *
 * <pre>
 * waiting <-> running -> [scoring] -> finished
 * </pre>
 *
 * <p>Confined to the thread of its batch.
 */
public final class ItemProgress {
  private final BatchItem item;
  private ItemText text = new ItemText();
  private boolean running;
  private boolean finished;
  private ScoreProgress scoring;
  private int failures;
  private boolean impossible;
  private int interruptions;
  private long notBeforeMs;

  ItemProgress(BatchItem item, boolean finished) {
    this.item = item;
    this.finished = finished;
  }

  /** Returns the item. */
  public BatchItem item() {
    return item;
  }

  /** Returns the text generated so far. */
  public ItemText text() {
    return text;
  }

  /**
   * Removes the text if it is longer than any text of the item can be. A run has then sent
   * something else, and the next run starts from the beginning.
   *
   * @return whether the text was removed
   */
  public boolean discardIfTooLong() {
    if (text.length() <= item.maxTextChars()) {
      return false;
    }
    text.reset();
    return true;
  }

  /**
   * Continues from a text that an earlier owner saved.
   *
   * @param earlier the saved text
   */
  public void restore(ItemText earlier) {
    text = earlier;
  }

  /**
   * Continues from the failed runs that an earlier owner saved.
   *
   * @param earlierFailures the number of runs that ended with an error response
   * @param earlierImpossible whether an endpoint responded that the item can never be run
   */
  public void restoreFailures(int earlierFailures, boolean earlierImpossible) {
    failures = earlierFailures;
    impossible = earlierImpossible;
  }

  /**
   * Returns whether the item is ready to run on an endpoint.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public boolean isWaiting(long nowMs) {
    return !running && !finished && !text.isComplete() && nowMs >= notBeforeMs;
  }

  /** Returns whether the item has a result. */
  public boolean isFinished() {
    return finished;
  }

  /** Returns whether the item is running on an endpoint. */
  public boolean isRunning() {
    return running;
  }

  /** Returns the number of runs that ended with an error response of the endpoint. */
  public int failures() {
    return failures;
  }

  /** Returns whether an endpoint responded that the item can never be run. */
  public boolean isImpossible() {
    return impossible;
  }

  /**
   * Returns whether the item must not run again because its runs failed.
   *
   * @param maxFailures the number of failed runs after which an item is given up
   */
  public boolean hasFailed(int maxFailures) {
    return impossible || failures >= maxFailures;
  }

  /** Returns the number of consecutive runs that ended without a new event. */
  public int interruptions() {
    return interruptions;
  }

  /** Records the start of a run. */
  public void onStarted() {
    running = true;
  }

  /**
   * Records the end of a run without a result.
   *
   * @param failed whether the run ended with an error response of the endpoint
   * @param progressed whether the run added an event to the text
   * @param retryAtMs the earliest time of the next run, in monotonic milliseconds
   */
  public void onEnded(boolean failed, boolean progressed, long retryAtMs) {
    running = false;
    notBeforeMs = retryAtMs;
    interruptions = progressed ? 0 : interruptions + 1;
    if (failed) {
      failures++;
    }
  }

  /** Records that an endpoint responded that the item can never be run, which ends its run. */
  public void onImpossible() {
    running = false;
    impossible = true;
  }

  /**
   * Records that the text is complete and is to be scored.
   *
   * @param nowMs the monotonic time in milliseconds
   */
  public void onScoringStarted(long nowMs) {
    running = false;
    scoring = new ScoreProgress(nowMs);
  }

  /** Returns the progress of scoring; empty before the text is complete and when finished. */
  public Optional<ScoreProgress> scoring() {
    return Optional.ofNullable(scoring);
  }

  /** Marks the item as finished and returns whether it was not finished before. */
  boolean finish() {
    running = false;
    scoring = null;
    boolean first = !finished;
    finished = true;
    return first;
  }
}
