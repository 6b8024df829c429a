package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;

/** A change that an operator asks for. */
public sealed interface Change {
  /** Returns the resource that is changed. */
  ResourceKey key();

  /** Returns what must hold of it. */
  Precondition precondition();

  /**
   * Returns the configuration after the change.
   *
   * @param before the configuration before
   * @param version the version of the result
   */
  Configuration applyTo(Configuration before, long version);

  /**
   * Creates or replaces a resource.
   *
   * @param resource the resource
   * @param precondition what must hold of it
   */
  record Put(Resource resource, Precondition precondition) implements Change {
    @Override
    public ResourceKey key() {
      return ResourceKey.of(resource);
    }

    @Override
    public Configuration applyTo(Configuration before, long version) {
      return before.with(version, resource.withVersion(version));
    }
  }

  /**
   * Removes a resource.
   *
   * @param key the resource
   * @param precondition what must hold of it
   */
  record Delete(ResourceKey key, Precondition precondition) implements Change {
    @Override
    public Configuration applyTo(Configuration before, long version) {
      return before.without(version, key);
    }
  }
}
