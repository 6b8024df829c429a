package org.sycamoretrack.daemon.request;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;

/** Scores finished samples by means of a service. */
@FunctionalInterface
public interface Scorer {
  /**
   * Scores a sample. May be called repeatedly for the same sample.
   *
   * @param service the name of the scoring service
   * @param spec the step of the sample
   * @param sample the sample
   * @return the score
   */
  CompletionStage<Double> score(String service, StepSpec spec, Sample sample);
}
