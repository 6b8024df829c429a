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
 * All resources at one version. Immutable, so that any thread may read it.
 *
 * <p>What the selectors mean is computed once, when a snapshot is made: the pools of each trainer
 * group, the endpoints of each pool and the endpoints that are drained. Readers on the path of a
 * request only look up.
 *
 * <p>Example: with the pools {@code modellhall {site=svea}} and {@code orderdisk {}} and the
 * trainer group {@code fyllnad} whose selector is {@code matchLabels {site=svea}}, {@code
 * poolsOf("fyllnad")} is {@code [modellhall]}.
 */
public final class Configuration {
  /** The configuration before the first accepted change. */
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
   * @param version the version, 0 or more
   * @param resources the resources, in any order
   */
  public Configuration(long version, Collection<Resource> resources) {
    this.version = version;
    for (ResourceKind kind : ResourceKind.values()) {
      byKind.put(kind, new TreeMap<>());
    }
    resources.forEach(resource -> byKind.get(resource.kind()).put(resource.name(), resource));
    byKind.replaceAll((kind, map) -> Collections.unmodifiableMap(map));
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
    endpointsByPool.replaceAll((pool, map) -> Collections.unmodifiableMap(map));
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
   * Returns the names of the model pools that serve a trainer group, in order.
   *
   * @param trainerGroup the group
   * @return the pools, none when the group does not exist
   */
  public List<String> poolsOf(String trainerGroup) {
    return poolsByGroup.getOrDefault(trainerGroup, List.of());
  }

  /**
   * Returns the endpoints of a pool by name, drained ones included.
   *
   * @param pool the pool
   * @return the endpoints, none when the pool does not exist
   */
  public Map<String, ResourceSpec.EndpointSpec> endpointsOf(String pool) {
    return endpointsByPool.getOrDefault(pool, Map.of());
  }

  /** Returns the names of the endpoints that match a drain. */
  public Set<String> drainedEndpoints() {
    return drainedEndpoints;
  }

  /** Returns all resources, by kind and name. */
  public List<Resource> resources() {
    List<Resource> all = new ArrayList<>();
    byKind.values().forEach(map -> all.addAll(map.values()));
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
   * @return the resource, empty when there is none
   */
  public Optional<Resource> resource(ResourceKind kind, String name) {
    return Optional.ofNullable(byKind.get(kind).get(name));
  }

  /**
   * Returns the resources of a kind that a selector matches, by name.
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
   * Returns the configuration after a resource was created or changed.
   *
   * @param newVersion the version of the result
   * @param resource the resource
   */
  public Configuration with(long newVersion, Resource resource) {
    return apply(newVersion, List.of(resource), List.of());
  }

  /**
   * Returns the configuration after a resource was removed.
   *
   * @param newVersion the version of the result
   * @param key names the resource
   */
  public Configuration without(long newVersion, ResourceKey key) {
    return apply(newVersion, List.of(), List.of(key));
  }

  /**
   * Returns the configuration after several changes.
   *
   * @param newVersion the version of the result
   * @param changed resources that were created or changed
   * @param removed resources that were removed
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
   * Checks what a new or changed resource refers to.
   *
   * @param resource the resource
   * @return what is wrong, empty when it may be accepted
   */
  public List<Violation> checkReferences(Resource resource) {
    return new ReferenceChecker(this).check(resource);
  }

  /**
   * Returns the resources that refer to a given one, which must not be removed before them.
   *
   * @param key names the resource
   */
  public List<ResourceKey> referrers(ResourceKey key) {
    return new ReferenceChecker(this).referrers(key);
  }

  /**
   * Returns the resources that are new or changed since an older configuration.
   *
   * @param older the older one
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
   * Returns the resources that were removed since an older configuration.
   *
   * @param older the older one
   */
  public List<ResourceKey> removedSince(Configuration older) {
    return older.resources().stream()
        .filter(resource -> resource(resource.kind(), resource.name()).isEmpty())
        .map(ResourceKey::of)
        .toList();
  }
}
