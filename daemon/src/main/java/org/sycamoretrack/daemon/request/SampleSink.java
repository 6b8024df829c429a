package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;

/** Saves finished samples, so that another node doesn't have to generate them again. */
@FunctionalInterface
public interface SampleSink {
  /** A sink that discards all samples. */
  SampleSink NONE = (spec, sample) -> {};

  /**
   * Called for each finished sample of a step. Must not block.
   *
   * @param spec the step
   * @param sample the sample
   */
  void onFinished(StepSpec spec, Sample sample);

  /**
   * Called when the trainer has closed a step, so that its samples are no longer needed.
   *
   * @param spec the step
   */
  default void onClosed(StepSpec spec) {}
}
