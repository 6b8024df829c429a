package org.sycamoretrack.daemon.request;

import java.util.List;

/**
 * What the configuration in force says of a track.
 *
 * @param pools the pools that serve it
 * @param maxVersionLag how many versions older than the trainer's a sample may be
 * @param scorer the service that scores its samples, or null
 */
public record TrackSettings(List<String> pools, int maxVersionLag, String scorer) {
  /** Copies the pools. */
  public TrackSettings {
    pools = List.copyOf(pools);
  }

  /**
   * Returns the oldest weight version that a trainer takes.
   *
   * @param trainsVersion the version that it trains now
   */
  public long oldestVersion(long trainsVersion) {
    return Math.max(0, trainsVersion - maxVersionLag);
  }
}
