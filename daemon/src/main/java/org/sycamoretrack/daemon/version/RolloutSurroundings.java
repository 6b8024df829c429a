package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Configuration;

/** What weight rollouts need to know of the rest of the node. Called on the control thread. */
public interface RolloutSurroundings {
  /** Returns the configuration in force. */
  Configuration configuration();

  /**
   * Returns whether this node is the one that should order loads for a group, as far as it can see.
   * Two nodes may think so for a time; the table service lets only one.
   *
   * @param group the group
   */
  boolean owns(RolloutGroup group);

  /**
   * Returns whether this node sends work to an engine and therefore follows its loads.
   *
   * @param endpoint the endpoint's name
   */
  boolean looksAfter(String endpoint);

  /**
   * Returns whether an engine gets new work, loads of weights left aside.
   *
   * @param endpoint the endpoint's name
   */
  boolean isInService(String endpoint);

  /**
   * Returns the requests in flight at an engine as far as known.
   *
   * @param endpoint the endpoint's name
   */
  int inFlight(String endpoint);
}
