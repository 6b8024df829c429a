package org.sycamoretrack.daemon.version;

/**
 * The engines of a pool in a zone. One node at a time rolls out new weights to a group.
 *
 * @param pool the name of the pool
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
