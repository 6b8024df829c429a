package org.sycamoretrack.core.version;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/** The properties of a resource that depend on its kind. */
public sealed interface ResourceSpec {
  /** Returns the kind of resource that this spec describes. */
  ResourceKind kind();

  /**
   * A rollout track: a sequence of training steps of one trainer.
   *
   * @param trainerGroup the name of its trainer group
   * @param maxVersionLag the maximum number of versions by which the weights that generated a
   *     sample may lag behind the version being trained, 0 or more
   * @param scorer the name of the service that scores its samples, or null for none
   * @param share its weight relative to competing tracks, greater than 0
   */
  record TrackSpec(String trainerGroup, int maxVersionLag, String scorer, double share)
      implements ResourceSpec {
    /** Checks that there is a trainer group. */
    public TrackSpec {
      Objects.requireNonNull(trainerGroup, "trainerGroup");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.TRACKS;
    }
  }

  /**
   * A group of trainers that are served by the same pools.
   *
   * @param poolSelector selects the pools
   */
  record TrainerGroupSpec(Selector poolSelector) implements ResourceSpec {
    /** Checks that there is a selector. */
    public TrainerGroupSpec {
      Objects.requireNonNull(poolSelector, "poolSelector");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.TRAINER_GROUPS;
    }
  }

  /**
   * A pool of interchangeable endpoints.
   *
   * @param type the type of its endpoints
   * @param model the name of the model in the weight store; null for the pool of a plain service
   * @param checksFence whether its engines reject load commands with an outdated fencing token
   * @param floorShare the minimum share of its endpoints that stay in service during a weight
   *     rollout, 0 to 1
   */
  record PoolSpec(PoolType type, String model, boolean checksFence, double floorShare)
      implements ResourceSpec {
    /** Checks that there is a type. */
    public PoolSpec {
      Objects.requireNonNull(type, "type");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.POOLS;
    }
  }

  /**
   * An endpoint.
   *
   * @param pool the name of its pool
   * @param address its IP address
   * @param port its TCP port
   * @param zone its availability zone
   */
  record EndpointSpec(String pool, String address, int port, String zone) implements ResourceSpec {
    /** Checks that no string is null. */
    public EndpointSpec {
      Objects.requireNonNull(pool, "pool");
      Objects.requireNonNull(address, "address");
      Objects.requireNonNull(zone, "zone");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.ENDPOINTS;
    }
  }

  /**
   * A plain service, that is an HTTP service without a model.
   *
   * @param pool the name of the pool that serves it
   * @param repeatableMethods the HTTP methods that are safe to retry
   * @param path the URL path for scoring requests
   */
  record ServiceSpec(String pool, Set<String> repeatableMethods, String path)
      implements ResourceSpec {
    /** Copies the methods and checks that there is a pool and a path. */
    public ServiceSpec {
      Objects.requireNonNull(pool, "pool");
      Objects.requireNonNull(path, "path");
      repeatableMethods = Collections.unmodifiableSet(new TreeSet<>(repeatableMethods));
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.SERVICES;
    }
  }

  /**
   * A drain: while it exists, matching resources get no new work.
   *
   * @param drainedKind the kind of resources to drain, {@link ResourceKind#ENDPOINTS}
   * @param selector selects the resources
   */
  record DrainSpec(ResourceKind drainedKind, Selector selector) implements ResourceSpec {
    /** Checks that there is a selector. */
    public DrainSpec {
      Objects.requireNonNull(drainedKind, "drainedKind");
      Objects.requireNonNull(selector, "selector");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.DRAINS;
    }
  }
}
