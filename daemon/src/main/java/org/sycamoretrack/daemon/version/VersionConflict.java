package org.sycamoretrack.daemon.version;

import java.util.Optional;
import org.sycamoretrack.core.version.Resource;

/** A change that was refused since its precondition does not hold. */
public final class VersionConflict extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Resource current;

  /**
   * Creates a conflict.
   *
   * @param current the resource as it is, or null when there is none
   */
  public VersionConflict(Resource current) {
    super(
        current == null
            ? "the resource does not exist"
            : "the resource is at version " + current.version(),
        null,
        false,
        false);
    this.current = current;
  }

  /** Returns the resource as it is. */
  public Optional<Resource> current() {
    return Optional.ofNullable(current);
  }
}
