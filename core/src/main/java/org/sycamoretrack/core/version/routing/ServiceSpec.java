package org.sycamoretrack.core.version.routing;

import java.util.List;

/**
 * A service that routes refer to.
 *
 * @param name the name of the service
 * @param models the models that its endpoints serve, empty for a service without models
 */
public record ServiceSpec(String name, List<String> models) {
  /** Copies the models. */
  public ServiceSpec {
    models = List.copyOf(models);
  }
}
