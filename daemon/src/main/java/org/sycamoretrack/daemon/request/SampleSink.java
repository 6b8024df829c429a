package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;

/** Saves finished samples, so that another node doesn't have to generate them again. */
@FunctionalInterface
public interface SampleSink {
  /** A sink that discards all samples. */
  SampleSink NONE = (step, sample) -> {};

  /**
   * Called for each finished sample of a step. Must not block.
   *
   * @param step the step
   * @param sample the sample
   */
  void onFinished(StepSpec step, Sample sample);

  /**
   * Called when the trainer has closed a step, so that its samples are no longer needed.
   *
   * @param step the step
   */
  default void onClosed(StepSpec step) {}
}
