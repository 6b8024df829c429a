package org.sycamoretrack.core.process;

import java.util.Objects;

/**
 * The membership record of one node.
 *
 * <p>Records of the same node are ordered by epoch, then incarnation, then state. Only the node
 * itself increments its incarnation, to refute the state that other nodes assign to it.
 *
 * @param nodeId the id of the node
 * @param zone its availability zone
 * @param region its region
 * @param address the address at which it accepts peer connections, {@code ip:port}
 * @param epoch the epoch of its lease, or 0
 * @param incarnation the number of the record within its epoch, incremented by the node
 * @param state its state
 * @param configVersion the last known configuration version in force at the node
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

  /** Checks that no component is null. */
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
   * Returns a copy of this record with another state.
   *
   * @param newState the state
   */
  public Member withState(MemberState newState) {
    return new Member(nodeId, zone, region, address, epoch, incarnation, newState, configVersion);
  }

  /**
   * Returns a copy of this record with another epoch, incarnation and state, as published by the
   * node itself.
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
   * Returns a copy of this record with another configuration version in force.
   *
   * @param newConfigVersion the configuration version
   */
  public Member withConfigVersion(long newConfigVersion) {
    return new Member(nodeId, zone, region, address, epoch, incarnation, state, newConfigVersion);
  }
}
