package org.sycamoretrack.core.request.scoring;

/** The outcome of one call to a scoring service. */
public sealed interface ScoreOutcome {
  /**
   * The service has scored the text.
   *
   * @param score the score
   */
  record Scored(String score) implements ScoreOutcome {}

  /**
   * The service ran the call and reported an error. After a number of such outcomes the text
   * remains without a score.
   *
   * @param reason the reason, for logs
   */
  record Failed(String reason) implements ScoreOutcome {}

  /**
   * The service did not and will not run the call.
   *
   * @param reason the reason, for logs
   */
  record NotRun(String reason) implements ScoreOutcome {}

  /**
   * No usable response arrived; the service may have run the call.
   *
   * @param reason the reason, for logs
   */
  record Lost(String reason) implements ScoreOutcome {}
}
