package org.sycamoretrack.daemon.request;

import java.util.concurrent.CompletionStage;
import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;

/** Has finished samples scored. */
@FunctionalInterface
public interface Scorer {
  /**
   * Scores a sample. May be repeated for the same sample.
   *
   * @param service the service that scores
   * @param spec the sample's step
   * @param sample the sample
   * @return the score
   */
  CompletionStage<Double> score(String service, StepSpec spec, Sample sample);
}
