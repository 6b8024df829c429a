package org.sycamoretrack.core.version.routing;

import java.util.List;

/**
 * A service that routes lead to.
 *
 * @param name the name
 * @param models the models that its endpoints serve, empty for a service without models
 */
public record ServiceSpec(String name, List<String> models) {
  /** Copies the models. */
  public ServiceSpec {
    models = List.copyOf(models);
  }
}
