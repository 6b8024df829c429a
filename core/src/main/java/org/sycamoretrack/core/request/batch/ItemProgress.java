package org.sycamoretrack.core.request.batch;

/** How far an item of an open batch has come. Confined to the thread of its batch. */
public final class ItemProgress {
  private final BatchItem item;
  private ItemText text = new ItemText();
  private boolean running;
  private boolean finished;
  private int failures;
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

  /** Returns the text so far. */
  public ItemText text() {
    return text;
  }

  /**
   * Goes on from a text that an earlier owner kept.
   *
   * @param earlier the text
   */
  public void restore(ItemText earlier) {
    text = earlier;
  }

  /** Returns whether the item waits for an endpoint. */
  public boolean isWaiting(long nowMs) {
    return !running && !finished && nowMs >= notBeforeMs;
  }

  /** Returns whether the item has a result. */
  public boolean isFinished() {
    return finished;
  }

  /** Returns whether the item runs at an endpoint. */
  public boolean isRunning() {
    return running;
  }

  /** Returns how many runs ended with an error of the endpoint's own. */
  public int failures() {
    return failures;
  }

  /** Returns how many runs in a row broke off without a new event. */
  public int interruptions() {
    return interruptions;
  }

  /** Notes that a run began. */
  public void onStarted() {
    running = true;
  }

  /**
   * Notes that a run ended without a result.
   *
   * @param failed whether the endpoint answered with an error of its own
   * @param progressed whether the run added an event
   * @param retryAtMs the monotonic time in milliseconds before which it is not run again
   */
  public void onEnded(boolean failed, boolean progressed, long retryAtMs) {
    running = false;
    notBeforeMs = retryAtMs;
    interruptions = progressed ? 0 : interruptions + 1;
    if (failed) {
      failures++;
    }
  }

  boolean finish() {
    running = false;
    boolean first = !finished;
    finished = true;
    return first;
  }
}
