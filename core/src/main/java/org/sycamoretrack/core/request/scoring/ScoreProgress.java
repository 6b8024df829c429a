package org.sycamoretrack.core.request.scoring;

/**
 * The progress of scoring one text: decides when the scoring service is called, with which time
 * limit, and what each outcome means.
 *
 * <p>Only an error that the service reported counts towards the limit after which the text remains
 * without a score. A call that was not run is repeated after a short delay. A call without a usable
 * response is repeated with twice the time limit, so that a stalled endpoint is left early and a
 * slow one is still waited for.
 *
 * <p>Example: a call is lost after 1,000 ms, the next one fails after 40 ms and is repeated after
 * 50 ms, and the third one returns the score.
 *
 * <p>Confined to the thread of its batch or step.
 */
public final class ScoreProgress {
  /** The time limit of the first call, some ten times the usual time of a scoring call. */
  private static final long FIRST_TIMEOUT_MS = 1_000;

  /** The longest time limit; slow services respond within a few seconds. */
  private static final long MAX_TIMEOUT_MS = 8_000;

  /** An endpoint that refused a call usually has a free slot after this time. */
  private static final long NOT_RUN_DELAY_MS = 60;

  /** Delay after the first failed or lost call, doubled by each further one. */
  private static final long RETRY_DELAY_MS = 50;

  private static final long MAX_RETRY_DELAY_MS = 1_000;
  private static final int MAX_SHIFT = 10;

  private final long textCompleteAtMs;
  private int failures;
  private int lost;
  private boolean inFlight;
  private long notBeforeMs;

  /**
   * Starts to score a text.
   *
   * @param textCompleteAtMs when the text was complete, in monotonic milliseconds
   */
  public ScoreProgress(long textCompleteAtMs) {
    this.textCompleteAtMs = textCompleteAtMs;
  }

  /** Returns whether the next call may be sent. */
  public boolean isWaiting(long nowMs) {
    return !inFlight && nowMs >= notBeforeMs;
  }

  /** Returns the time since the text was complete, in milliseconds. */
  public long elapsedMs(long nowMs) {
    return nowMs - textCompleteAtMs;
  }

  /** Returns the number of calls for which the service reported an error. */
  public int failures() {
    return failures;
  }

  /** Returns the number of calls without a score, whose repetition yields to first calls. */
  public int unsuccessfulCalls() {
    return failures + lost;
  }

  /** Returns the time limit of the next call in milliseconds. */
  public long timeoutMs() {
    return Math.min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS << Math.min(lost, MAX_SHIFT));
  }

  /** Records that a call was sent. */
  public void onSent() {
    inFlight = true;
  }

  /**
   * Postpones the next call, for example while there is no route to the service.
   *
   * @param untilMs the earliest time of the next call, in monotonic milliseconds
   */
  public void postpone(long untilMs) {
    notBeforeMs = Math.max(notBeforeMs, untilMs);
  }

  /**
   * Records the outcome of the call in flight.
   *
   * @param outcome the outcome
   * @param maxFailures the number of reported errors after which the text remains without a score
   * @param nowMs the monotonic time in milliseconds
   * @return what follows
   */
  public ScoreDecision onOutcome(ScoreOutcome outcome, int maxFailures, long nowMs) {
    inFlight = false;
    return switch (outcome) {
      case ScoreOutcome.Scored scored -> new ScoreDecision.Accept(scored.score());
      case ScoreOutcome.NotRun notRun -> retryAt(nowMs + NOT_RUN_DELAY_MS, notRun.reason());
      case ScoreOutcome.Failed failed -> {
        failures++;
        yield failures >= maxFailures
            ? new ScoreDecision.Abandon(failed.reason())
            : retryAt(nowMs + retryDelayMs(), failed.reason());
      }
      case ScoreOutcome.Lost lostCall -> {
        lost++;
        yield retryAt(nowMs + retryDelayMs(), lostCall.reason());
      }
    };
  }

  private long retryDelayMs() {
    int shift = Math.min(MAX_SHIFT, unsuccessfulCalls() - 1);
    return Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS << shift);
  }

  private ScoreDecision retryAt(long atMs, String reason) {
    postpone(atMs);
    return new ScoreDecision.Retry(notBeforeMs, reason);
  }
}
