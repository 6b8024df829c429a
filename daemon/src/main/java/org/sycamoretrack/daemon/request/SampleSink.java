package org.sycamoretrack.daemon.request;

import org.sycamoretrack.core.request.Sample;
import org.sycamoretrack.core.request.StepId;

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
  void onFinished(StepId step, Sample sample);
}
