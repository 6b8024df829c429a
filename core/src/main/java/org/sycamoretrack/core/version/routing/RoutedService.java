package org.sycamoretrack.core.version.routing;

import java.util.List;

/**
 * A service that routes refer to.
 *
 * @param name the name of the service
 * @param models the models that its endpoints serve, empty for a service without models
 */
public record RoutedService(String name, List<String> models) {
  /** Copies the models. */
  public RoutedService {
    models = List.copyOf(models);
  }
}
