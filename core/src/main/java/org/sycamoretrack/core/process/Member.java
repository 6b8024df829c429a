package org.sycamoretrack.core.process;

import java.util.Objects;

/**
 * What is known of one node.
 *
 * <p>Of two records of the same node, the one with the higher epoch is newer; at the same epoch the
 * one with the higher incarnation; at the same incarnation the later state. Only the node itself
 * raises its incarnation, and it does so to refute what others believe of it.
 *
 * @param nodeId the name of the node
 * @param zone its availability zone
 * @param region its region
 * @param address where it accepts connections of peers, {@code ip:port}
 * @param epoch the epoch of its lease, or 0
 * @param incarnation the number of the node's own statement, within its epoch
 * @param state what is believed of it
 * @param configVersion the version of the configuration that it has in force, as last heard
 */
public record Member(
    String nodeId,
    String zone,
    String region,
    String address,
    long epoch,
    long incarnation,
    MemberState state,
    long configVersion) {

  /** Checks that no part is missing. */
  public Member {
    Objects.requireNonNull(nodeId, "nodeId");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(state, "state");
  }

  /**
   * Returns whether this record is newer than another of the same node.
   *
   * @param other the other record
   */
  public boolean supersedes(Member other) {
    if (epoch != other.epoch) {
      return epoch > other.epoch;
    }
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.compareTo(other.state) > 0;
  }

  /**
   * Returns this record with another state.
   *
   * @param newState the state
   */
  public Member withState(MemberState newState) {
    return new Member(nodeId, zone, region, address, epoch, incarnation, newState, configVersion);
  }

  /**
   * Returns this record as a newer statement of the node itself.
   *
   * @param newEpoch the epoch
   * @param newIncarnation the incarnation
   * @param newState the state
   */
  public Member withIncarnation(long newEpoch, long newIncarnation, MemberState newState) {
    return new Member(
        nodeId, zone, region, address, newEpoch, newIncarnation, newState, configVersion);
  }

  /**
   * Returns this record with another version in force.
   *
   * @param newConfigVersion the version
   */
  public Member withConfigVersion(long newConfigVersion) {
    return new Member(nodeId, zone, region, address, epoch, incarnation, state, newConfigVersion);
  }
}
