package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * A group of samples that share a prompt.
 *
 * @param prompt the prompt
 * @param samples the number of samples, at least 1
 * @param seed the seed from which the samples' seeds are derived
 */
public record GroupSpec(String prompt, int samples, long seed) {
  /** Checks the fields. */
  public GroupSpec {
    Objects.requireNonNull(prompt, "prompt");
    if (samples < 1) {
      throw new IllegalArgumentException("a group has at least 1 sample");
    }
  }
}
