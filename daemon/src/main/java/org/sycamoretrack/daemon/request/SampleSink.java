package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepSpec;

/** Takes note of finished samples, so that another node need not make them again. */
@FunctionalInterface
public interface SampleSink {
  /** Takes no note. */
  SampleSink NONE = (step, sample) -> {};

  /**
   * Called for each finished sample of a step. Must not block.
   *
   * @param step the step
   * @param sample the sample
   */
  void onFinished(StepSpec step, Sample sample);

  /**
   * Called when the trainer has closed a step: nobody will ask for its samples again.
   *
   * @param step the step
   */
  default void onClosed(StepSpec step) {}
}
