package org.sycamoretrack.core.version;

import java.util.Objects;

/**
 * The unique key of a resource.
 *
 * @param kind the kind
 * @param name the name within the kind
 */
public record ResourceKey(ResourceKind kind, String name) {
  /** Checks that neither part is null. */
  public ResourceKey {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }

  /**
   * Returns the key of a resource.
   *
   * @param resource the resource
   */
  public static ResourceKey of(Resource resource) {
    return new ResourceKey(resource.kind(), resource.name());
  }

  @Override
  public String toString() {
    return kind.wireName() + "/" + name;
  }
}
