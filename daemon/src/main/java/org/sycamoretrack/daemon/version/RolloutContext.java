package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Configuration;

/** The state of the node that weight rollouts depend on. Called on the control thread. */
public interface RolloutContext {
  /** Returns the configuration in force. */
  Configuration configuration();

  /**
   * Returns whether this node should send load commands to a group, according to its view of the
   * members. Two nodes may both return true for a time; the epoch in the table service admits only
   * one of them.
   *
   * @param group the group
   */
  boolean owns(RolloutGroup group);

  /**
   * Returns whether this node sends work to an engine and therefore has to know about its loads.
   *
   * @param endpoint the endpoint's name
   */
  boolean sendsWorkTo(String endpoint);

  /**
   * Returns whether an engine may get new work, regardless of loads of weights.
   *
   * @param endpoint the endpoint's name
   */
  boolean isInService(String endpoint);

  /**
   * Returns the number of requests that are known to be in flight at an engine.
   *
   * @param endpoint the endpoint's name
   */
  int inFlight(String endpoint);
}
