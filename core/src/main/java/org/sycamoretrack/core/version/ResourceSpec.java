package org.sycamoretrack.core.version;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/** What a resource is, apart from its name and labels. */
public sealed interface ResourceSpec {
  /** Returns the kind of resources that have such a spec. */
  ResourceKind kind();

  /**
   * A rollout track: a stream of steps of one trainer.
   *
   * @param trainerGroup the name of the trainer group that it belongs to
   * @param maxVersionLag how many versions older than the one being trained the weights of a sample
   *     may be, 0 or more
   * @param scorer the name of the service that scores its samples, or null for none
   * @param share its weight among tracks that compete, over 0
   */
  record TrackSpec(String trainerGroup, int maxVersionLag, String scorer, double share)
      implements ResourceSpec {
    /** Checks that the trainer group is named. */
    public TrackSpec {
      Objects.requireNonNull(trainerGroup, "trainerGroup");
    }

    @Override
    public ResourceKind kind() {
      return ResourceKind.TRACKS;
    }
  }

  /**
   * A group of trainers that the same pools serve.
   *
   * @param poolSelector chooses the pools
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
   * A pool of endpoints that serve the same.
   *
   * @param type what its endpoints are
   * @param model the name in the weight store; null when its endpoints are of a plain service
   * @param checksFence whether its engines refuse orders with old fencing numbers
   * @param floorShare the share of its endpoints that stay in service during a weight rollout, 0 to
   *     1
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
   * @param address its IP number
   * @param port its TCP port
   * @param zone its availability zone
   */
  record EndpointSpec(String pool, String address, int port, String zone) implements ResourceSpec {
    /** Checks that no name is missing. */
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
   * A plain service.
   *
   * @param pool the name of the pool that serves it
   * @param repeatableMethods HTTP methods that may be sent again
   * @param path where it is called as a scorer
   */
  record ServiceSpec(String pool, Set<String> repeatableMethods, String path)
      implements ResourceSpec {
    /** Copies the methods. */
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
   * A drain: while it exists, resources that match get no new work.
   *
   * @param drainedKind the kind of resources, {@link ResourceKind#ENDPOINTS}
   * @param selector chooses them
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
