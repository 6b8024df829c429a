package org.sycamoretrack.daemon.version;

import org.sycamoretrack.core.version.Configuration;
import org.sycamoretrack.core.version.Resource;
import org.sycamoretrack.core.version.ResourceKey;

/** A change of the configuration that an operator requests. */
public sealed interface Change {
  /** Returns the key of the resource to change. */
  ResourceKey key();

  /** Returns the condition on the current resource. */
  Precondition precondition();

  /**
   * Returns the configuration after the change.
   *
   * @param before the configuration before
   * @param version the version of the new configuration
   */
  Configuration applyTo(Configuration before, long version);

  /**
   * Creates or replaces a resource.
   *
   * @param resource the resource
   * @param precondition the condition on the current resource
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
   * @param key the key of the resource
   * @param precondition the condition on the current resource
   */
  record Delete(ResourceKey key, Precondition precondition) implements Change {
    @Override
    public Configuration applyTo(Configuration before, long version) {
      return before.without(version, key);
    }
  }
}
