package org.sycamoretrack.core.version.routing;

import java.util.List;
import java.util.Optional;

/**
 * A service that routes refer to.
 *
 * @param name the name of the service
 * @param models the models that its endpoints serve, empty for a service without models
 * @param scaling the terms on which its number of endpoints can be changed, empty if it can't
 */
public record RoutedService(String name, List<String> models, Optional<ScalingTerms> scaling) {
  /** Copies the models. */
  public RoutedService {
    models = List.copyOf(models);
  }

  /**
   * Creates a service whose number of endpoints can't be changed.
   *
   * @param name the name of the service
   * @param models the models that its endpoints serve
   */
  public RoutedService(String name, List<String> models) {
    this(name, models, Optional.empty());
  }
}
