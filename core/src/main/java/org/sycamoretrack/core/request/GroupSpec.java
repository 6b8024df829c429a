package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * A group of samples generated from the same prompt.
 *
 * @param prompt the prompt
 * @param samples the number of samples, at least 1
 * @param seed the seed from which the seed of each sample is derived
 */
public record GroupSpec(String prompt, int samples, long seed) {
  /** Checks that the prompt is present and the number of samples is positive. */
  public GroupSpec {
    Objects.requireNonNull(prompt, "prompt");
    if (samples < 1) {
      throw new IllegalArgumentException("a group must have at least 1 sample");
    }
  }
}
