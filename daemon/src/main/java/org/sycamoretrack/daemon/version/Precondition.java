package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Resource;

/** What must hold of a resource for a change to be accepted. */
public sealed interface Precondition {
  /**
   * Returns whether the precondition holds.
   *
   * @param current the resource as it is, or null when there is none
   */
  boolean holds(Resource current);

  /** The change is unconditional. */
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
   * The resource must have a version.
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
