package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * Identifies a step of a track.
 *
 * @param track the track's name
 * @param step the number of the step, not negative
 */
public record StepId(String track, long step) {
  /** Checks that the track is present and the number is not negative. */
  public StepId {
    Objects.requireNonNull(track, "track");
    if (step < 0) {
      throw new IllegalArgumentException("number of a step must not be negative");
    }
  }

  /** Returns the key that determines the owner node of the step, {@code step/TRACK/NUMBER}. */
  public String key() {
    return "step/" + track + "/" + step;
  }
}
