package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Resource;

/** The condition on the current resource under which a change is accepted. */
public sealed interface Precondition {
  /**
   * Returns whether the precondition holds.
   *
   * @param current the current resource, or null when it does not exist
   */
  boolean holds(Resource current);

  /** Always holds: the change is unconditional. */
  record Any() implements Precondition {
    @Override
    public boolean holds(Resource current) {
      return true;
    }
  }

  /** The resource must not exist. */
  record Absent() implements Precondition {
    @Override
    public boolean holds(Resource current) {
      return current == null;
    }
  }

  /**
   * The resource must exist at a given version.
   *
   * @param version the version
   */
  record AtVersion(long version) implements Precondition {
    @Override
    public boolean holds(Resource current) {
      return current != null && current.version() == version;
    }
  }
}
