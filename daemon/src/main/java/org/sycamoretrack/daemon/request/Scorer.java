package org.sycamoretrack.daemon.request;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;
import org.sycamoretrack.core.request.scoring.ScoreOutcome;

/** Scores finished samples by means of a service. */
@FunctionalInterface
public interface Scorer {
  /**
   * Calls the scoring service for a sample once. May be called repeatedly for the same sample.
   *
   * @param service the name of the scoring service
   * @param spec the step of the sample
   * @param sample the sample
   * @param timeoutMs the time limit of the call in milliseconds
   * @return the outcome, with the score as a decimal number; never fails
   */
  CompletionStage<ScoreOutcome> score(String service, StepSpec spec, Sample sample, long timeoutMs);
}
