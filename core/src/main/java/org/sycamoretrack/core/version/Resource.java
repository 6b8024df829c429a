package org.sycamoretrack.core.version;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A configuration resource: a name, labels and a spec. Immutable.
 *
 * @param name the name, unique within the kind
 * @param labels the labels set by the operator
 * @param version the configuration version that last changed it; 0 if it is not accepted yet
 * @param spec the properties that depend on the kind
 */
public record Resource(String name, Map<String, String> labels, long version, ResourceSpec spec) {

  /** Copies the labels and checks that there is a name and a spec. */
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
   * Returns a copy of this resource with another version.
   *
   * @param newVersion the version
   */
  public Resource withVersion(long newVersion) {
    return new Resource(name, labels, newVersion, spec);
  }

  /**
   * Returns the labels that selectors match: the operator's labels and the implied ones. Every
   * resource has the implied label {@code name}; an endpoint also has {@code pool} and {@code
   * zone}. An implied label overrides an operator's label with the same key.
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
