package org.sycamoretrack.core.request.scoring;

/** What follows from the outcome of a call to a scoring service. */
public sealed interface ScoreDecision {
  /**
   * The text has its score.
   *
   * @param score the score
   */
  record Accept(String score) implements ScoreDecision {}

  /**
   * The call is repeated.
   *
   * @param atMs the earliest time of the next call, in monotonic milliseconds
   * @param reason the reason, for logs
   */
  record Retry(long atMs, String reason) implements ScoreDecision {}

  /**
   * The text remains without a score.
   *
   * @param reason the reason, for logs
   */
  record Abandon(String reason) implements ScoreDecision {}
}
