package org.sycamoretrack.daemon.request;

import java.util.List;

/**
 * The current configuration of a track, as far as its steps need it.
 *
 * @param pools the names of the pools that serve the track
 * @param maxVersionLag the maximum number of versions that a sample may be older than the trainer's
 * @param scorer the name of the service that scores the samples, or null
 */
public record TrackSettings(List<String> pools, int maxVersionLag, String scorer) {
  /** Copies the pools. */
  public TrackSettings {
    pools = List.copyOf(pools);
  }

  /**
   * Returns the oldest weight version that a trainer accepts.
   *
   * @param trainsVersion the version that is being trained
   */
  public long oldestVersion(long trainsVersion) {
    return Math.max(0, trainsVersion - maxVersionLag);
  }
}
