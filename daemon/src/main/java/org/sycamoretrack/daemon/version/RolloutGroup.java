package org.sycamoretrack.daemon.version;

/**
 * The engines of a pool in a zone, which one node at a time brings to new weights.
 *
 * @param pool the pool
 * @param zone the availability zone
 */
public record RolloutGroup(String pool, String zone) implements Comparable<RolloutGroup> {
  /** Returns the key of the group's row in the table service. */
  String key() {
    return pool + "/" + zone;
  }

  @Override
  public int compareTo(RolloutGroup other) {
    return key().compareTo(other.key());
  }
}
