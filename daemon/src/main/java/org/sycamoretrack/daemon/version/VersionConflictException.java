package org.sycamoretrack.daemon.version;

import java.util.Optional;
import org.sycamoretrack.core.version.Resource;

/** Thrown when a change is rejected because its precondition does not hold. */
public final class VersionConflictException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Resource current;

  /**
   * Creates an exception without a stack trace.
   *
   * @param current the current resource, or null when it does not exist
   */
  public VersionConflictException(Resource current) {
    super(
        current == null
            ? "the resource does not exist"
            : "the resource is at version " + current.version(),
        null,
        false,
        false);
    this.current = current;
  }

  /** Returns the current resource, or empty when it does not exist. */
  public Optional<Resource> current() {
    return Optional.ofNullable(current);
  }
}
