package org.sycamoretrack.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks referential integrity: a resource may refer only to existing resources, and a resource
 * that others refer to must not be removed.
 */
final class ReferenceChecker {
  private final Configuration configuration;

  ReferenceChecker(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Returns the validation errors in the references of a resource. */
  List<ValidationError> check(Resource resource) {
    List<ValidationError> errors = new ArrayList<>();
    switch (resource.spec()) {
      case ResourceSpec.TrackSpec track -> {
        requireExists(
            ResourceKind.TRAINER_GROUPS, track.trainerGroup(), "/spec/trainerGroup", errors);
        if (track.scorer() != null) {
          requireExists(ResourceKind.SERVICES, track.scorer(), "/spec/scorer", errors);
        }
      }
      case ResourceSpec.EndpointSpec endpoint ->
          requireExists(ResourceKind.POOLS, endpoint.pool(), "/spec/pool", errors);
      case ResourceSpec.ServiceSpec service -> checkService(service, errors);
      case ResourceSpec.PoolSpec pool -> checkPool(resource.name(), pool, errors);
      case ResourceSpec.TrainerGroupSpec group -> {
        // A selector that matches nothing is valid.
      }
      case ResourceSpec.DrainSpec drain -> {
        // A selector that matches nothing is valid.
      }
    }
    return errors;
  }

  private void requireExists(
      ResourceKind kind, String name, String pointer, List<ValidationError> errors) {
    if (configuration.resource(kind, name).isEmpty()) {
      errors.add(new ValidationError(pointer, "there is no " + kind.wireName() + "/" + name));
    }
  }

  private void checkService(ResourceSpec.ServiceSpec service, List<ValidationError> errors) {
    requireExists(ResourceKind.POOLS, service.pool(), "/spec/pool", errors);
    ResourceSpec.PoolSpec pool = configuration.pools().get(service.pool());
    if (pool != null && pool.type() != PoolType.SERVICE) {
      errors.add(
          new ValidationError("/spec/pool", "pools/" + service.pool() + " is not of type service"));
    }
  }

  private void checkPool(String name, ResourceSpec.PoolSpec pool, List<ValidationError> errors) {
    if (pool.type() == PoolType.SERVICE) {
      return;
    }
    for (Map.Entry<String, ResourceSpec.ServiceSpec> service :
        configuration.services().entrySet()) {
      if (service.getValue().pool().equals(name)) {
        errors.add(
            new ValidationError("/spec/type", "services/" + service.getKey() + " uses this pool"));
      }
    }
  }

  /** Returns the resources that refer to the given one. */
  List<ResourceKey> referrers(ResourceKey key) {
    List<ResourceKey> referrers = new ArrayList<>();
    for (Resource resource : configuration.resources()) {
      if (refersTo(resource.spec(), key)) {
        referrers.add(ResourceKey.of(resource));
      }
    }
    return referrers;
  }

  private static boolean refersTo(ResourceSpec spec, ResourceKey key) {
    String name = key.name();
    return switch (spec) {
      case ResourceSpec.TrackSpec track ->
          (key.kind() == ResourceKind.TRAINER_GROUPS && track.trainerGroup().equals(name))
              || (key.kind() == ResourceKind.SERVICES && name.equals(track.scorer()));
      case ResourceSpec.EndpointSpec endpoint ->
          key.kind() == ResourceKind.POOLS && endpoint.pool().equals(name);
      case ResourceSpec.ServiceSpec service ->
          key.kind() == ResourceKind.POOLS && service.pool().equals(name);
      case ResourceSpec.PoolSpec pool -> false;
      case ResourceSpec.TrainerGroupSpec group -> false;
      case ResourceSpec.DrainSpec drain -> false;
    };
  }
}
