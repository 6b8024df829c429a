package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * The name of a step.
 *
 * @param track the track's name
 * @param step the step's number, not negative
 */
public record StepId(String track, long step) {
  /** Checks the fields. */
  public StepId {
    Objects.requireNonNull(track, "track");
    if (step < 0) {
      throw new IllegalArgumentException("a step's number is not negative");
    }
  }

  /** Returns the key under which the step's owner is computed, {@code step/track/number}. */
  public String key() {
    return "step/" + track + "/" + step;
  }
}
