package org.sycamoretrack.core.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An immutable snapshot of all resources at one configuration version. Safe for concurrent reads.
 *
 * <p>Selectors are evaluated once, in the constructor: the pools of each trainer group, the
 * endpoints of each pool and the drained endpoints. Request processing then needs map lookups only.
 *
 * <p>Example: given the pools {@code modellhall {site=svea}} and {@code orderdisk {}} and the
 * trainer group {@code fyllnad} with the selector {@code matchLabels {site=svea}}, {@code
 * poolsOf("fyllnad")} is {@code [modellhall]}.
 */
public final class Configuration {
  /** The empty configuration, in force until the first change is accepted. */
  public static final Configuration EMPTY = new Configuration(0, List.of());

  private final long version;
  private final Map<ResourceKind, Map<String, Resource>> byKind = new EnumMap<>(ResourceKind.class);
  private final Map<String, ResourceSpec.TrackSpec> tracks;
  private final Map<String, ResourceSpec.TrainerGroupSpec> trainerGroups;
  private final Map<String, ResourceSpec.PoolSpec> pools;
  private final Map<String, ResourceSpec.EndpointSpec> endpoints;
  private final Map<String, ResourceSpec.ServiceSpec> services;
  private final Map<String, ResourceSpec.DrainSpec> drains;
  private final Map<String, List<String>> poolsByGroup = new TreeMap<>();
  private final Map<String, Map<String, ResourceSpec.EndpointSpec>> endpointsByPool =
      new TreeMap<>();
  private final Set<String> drainedEndpoints;

  /**
   * Creates a snapshot.
   *
   * @param version the configuration version, 0 or more
   * @param resources the resources, in any order
   */
  public Configuration(long version, Collection<Resource> resources) {
    this.version = version;
    for (ResourceKind kind : ResourceKind.values()) {
      byKind.put(kind, new TreeMap<>());
    }
    resources.forEach(resource -> byKind.get(resource.kind()).put(resource.name(), resource));
    byKind.replaceAll((kind, byName) -> Collections.unmodifiableMap(byName));
    this.tracks = specs(ResourceKind.TRACKS, ResourceSpec.TrackSpec.class);
    this.trainerGroups = specs(ResourceKind.TRAINER_GROUPS, ResourceSpec.TrainerGroupSpec.class);
    this.pools = specs(ResourceKind.POOLS, ResourceSpec.PoolSpec.class);
    this.endpoints = specs(ResourceKind.ENDPOINTS, ResourceSpec.EndpointSpec.class);
    this.services = specs(ResourceKind.SERVICES, ResourceSpec.ServiceSpec.class);
    this.drains = specs(ResourceKind.DRAINS, ResourceSpec.DrainSpec.class);
    trainerGroups.forEach((name, group) -> poolsByGroup.put(name, modelPools(group)));
    endpoints.forEach(
        (name, endpoint) ->
            endpointsByPool
                .computeIfAbsent(endpoint.pool(), any -> new TreeMap<>())
                .put(name, endpoint));
    endpointsByPool.replaceAll((pool, byName) -> Collections.unmodifiableMap(byName));
    this.drainedEndpoints = Collections.unmodifiableSet(computeDrained());
  }

  private <T extends ResourceSpec> Map<String, T> specs(ResourceKind kind, Class<T> type) {
    Map<String, T> specs = new TreeMap<>();
    byKind.get(kind).forEach((name, resource) -> specs.put(name, type.cast(resource.spec())));
    return Collections.unmodifiableMap(specs);
  }

  private List<String> modelPools(ResourceSpec.TrainerGroupSpec group) {
    return select(ResourceKind.POOLS, group.poolSelector()).stream()
        .map(Resource::name)
        .filter(name -> pools.get(name).type() == PoolType.MODEL)
        .toList();
  }

  private Set<String> computeDrained() {
    Set<String> drained = new TreeSet<>();
    for (ResourceSpec.DrainSpec drain : drains.values()) {
      select(drain.drainedKind(), drain.selector())
          .forEach(resource -> drained.add(resource.name()));
    }
    return drained;
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the tracks by name. */
  public Map<String, ResourceSpec.TrackSpec> tracks() {
    return tracks;
  }

  /** Returns the trainer groups by name. */
  public Map<String, ResourceSpec.TrainerGroupSpec> trainerGroups() {
    return trainerGroups;
  }

  /** Returns the pools by name. */
  public Map<String, ResourceSpec.PoolSpec> pools() {
    return pools;
  }

  /** Returns the endpoints by name. */
  public Map<String, ResourceSpec.EndpointSpec> endpoints() {
    return endpoints;
  }

  /** Returns the services by name. */
  public Map<String, ResourceSpec.ServiceSpec> services() {
    return services;
  }

  /** Returns the drains by name. */
  public Map<String, ResourceSpec.DrainSpec> drains() {
    return drains;
  }

  /**
   * Returns the sorted names of the model pools that serve a trainer group.
   *
   * @param trainerGroup the name of the group
   * @return the pool names, empty if the group does not exist
   */
  public List<String> poolsOf(String trainerGroup) {
    return poolsByGroup.getOrDefault(trainerGroup, List.of());
  }

  /**
   * Returns the endpoints of a pool by name, including drained ones.
   *
   * @param pool the name of the pool
   * @return the endpoints, empty if the pool does not exist
   */
  public Map<String, ResourceSpec.EndpointSpec> endpointsOf(String pool) {
    return endpointsByPool.getOrDefault(pool, Map.of());
  }

  /** Returns the names of the endpoints that at least one drain matches. */
  public Set<String> drainedEndpoints() {
    return drainedEndpoints;
  }

  /** Returns all resources, ordered by kind and name. */
  public List<Resource> resources() {
    List<Resource> all = new ArrayList<>();
    byKind.values().forEach(byName -> all.addAll(byName.values()));
    return all;
  }

  /**
   * Returns the resources of a kind, by name.
   *
   * @param kind the kind
   */
  public Map<String, Resource> resources(ResourceKind kind) {
    return byKind.get(kind);
  }

  /**
   * Returns a resource.
   *
   * @param kind its kind
   * @param name its name
   * @return the resource, or empty if it does not exist
   */
  public Optional<Resource> resource(ResourceKind kind, String name) {
    return Optional.ofNullable(byKind.get(kind).get(name));
  }

  /**
   * Returns the resources of a kind that a selector matches, ordered by name.
   *
   * @param kind the kind
   * @param selector the selector
   */
  public List<Resource> select(ResourceKind kind, Selector selector) {
    return byKind.get(kind).values().stream()
        .filter(resource -> selector.matches(resource.selectableLabels()))
        .toList();
  }

  /**
   * Returns a copy of this configuration with a resource added or replaced.
   *
   * @param newVersion the version of the result
   * @param resource the resource
   */
  public Configuration with(long newVersion, Resource resource) {
    return apply(newVersion, List.of(resource), List.of());
  }

  /**
   * Returns a copy of this configuration without a resource.
   *
   * @param newVersion the version of the result
   * @param key the key of the resource
   */
  public Configuration without(long newVersion, ResourceKey key) {
    return apply(newVersion, List.of(), List.of(key));
  }

  /**
   * Returns a copy of this configuration with several changes applied.
   *
   * @param newVersion the version of the result
   * @param changed resources to add or replace
   * @param removed keys of resources to remove
   */
  public Configuration apply(
      long newVersion, Collection<Resource> changed, Collection<ResourceKey> removed) {
    Map<ResourceKey, Resource> all = new LinkedHashMap<>();
    resources().forEach(resource -> all.put(ResourceKey.of(resource), resource));
    changed.forEach(resource -> all.put(ResourceKey.of(resource), resource));
    removed.forEach(all::remove);
    return new Configuration(newVersion, all.values());
  }

  /**
   * Validates the references of a new or changed resource.
   *
   * @param resource the resource
   * @return the validation errors, empty if the resource is acceptable
   */
  public List<ValidationError> checkReferences(Resource resource) {
    return new ReferenceChecker(this).check(resource);
  }

  /**
   * Returns the resources that refer to the given one. It must not be removed as long as there are
   * any.
   *
   * @param key the key of the resource
   */
  public List<ResourceKey> referrers(ResourceKey key) {
    return new ReferenceChecker(this).referrers(key);
  }

  /**
   * Returns the resources that were added or changed since an older configuration.
   *
   * @param older the older configuration
   */
  public List<Resource> changedSince(Configuration older) {
    return resources().stream()
        .filter(
            resource ->
                older
                    .resource(resource.kind(), resource.name())
                    .filter(before -> before.version() == resource.version())
                    .isEmpty())
        .toList();
  }

  /**
   * Returns the keys of the resources that were removed since an older configuration.
   *
   * @param older the older configuration
   */
  public List<ResourceKey> removedSince(Configuration older) {
    return older.resources().stream()
        .filter(resource -> resource(resource.kind(), resource.name()).isEmpty())
        .map(ResourceKey::of)
        .toList();
  }
}
