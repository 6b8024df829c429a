package org.sycamoretrack.core.version;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A resource: a name, labels and a spec. Immutable.
 *
 * @param name the name, unique within the kind
 * @param labels the labels that the operator gave it
 * @param version the version of the configuration that changed it last; 0 when it is not accepted
 *     yet
 * @param spec what it is
 */
public record Resource(String name, Map<String, String> labels, long version, ResourceSpec spec) {

  /** Copies the labels. */
  public Resource {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(spec, "spec");
    labels = Collections.unmodifiableMap(new TreeMap<>(labels));
  }

  /** Returns the kind. */
  public ResourceKind kind() {
    return spec.kind();
  }

  /**
   * Returns this resource as of another version.
   *
   * @param newVersion the version
   */
  public Resource withVersion(long newVersion) {
    return new Resource(name, labels, newVersion, spec);
  }

  /**
   * Returns what selectors see: the labels and the implied ones. Every resource has the implied
   * label {@code name}; an endpoint also has {@code pool} and {@code zone}. An implied label hides
   * a given one of the same key.
   */
  public Map<String, String> selectableLabels() {
    Map<String, String> all = new TreeMap<>(labels);
    all.put("name", name);
    if (spec instanceof ResourceSpec.EndpointSpec endpoint) {
      all.put("pool", endpoint.pool());
      all.put("zone", endpoint.zone());
    }
    return all;
  }
}
