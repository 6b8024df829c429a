package org.sycamoretrack.core.request.scoring;

/** The outcome of one call to a scoring service. */
public sealed interface ScoreOutcome {
  /** The HTTP status with which a scoring service reports that it can't score a text. */
  int SERVICE_ERROR_STATUS = 500;

  /**
   * Returns the outcome of a response with an error status. Only {@value #SERVICE_ERROR_STATUS} is
   * a statement about the text; another status, such as that of a proxy, is not.
   *
   * @param status the HTTP status, neither of a success nor of a call that was not run
   * @param reason the reason, for logs
   */
  static ScoreOutcome ofErrorStatus(int status, String reason) {
    return status == SERVICE_ERROR_STATUS ? new Failed(reason) : new Lost(reason);
  }

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
