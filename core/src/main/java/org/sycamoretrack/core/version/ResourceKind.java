package org.sycamoretrack.core.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of resources that operators manage. */
public enum ResourceKind {
  /** Rollout tracks of trainers. */
  TRACKS,
  /** Groups of trainers, with the pools that serve them. */
  TRAINER_GROUPS,
  /** Pools of endpoints that serve the same model or service. */
  POOLS,
  /** Endpoints, each in one pool. */
  ENDPOINTS,
  /** Plain services, each served by one pool. */
  SERVICES,
  /** Drains: endpoints that match get no new work. */
  DRAINS;

  private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

  /** Returns the name in paths and JSON, for example {@code trainer-groups}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the kind with a given wire name.
   *
   * @param wireName the name
   * @return the kind, empty when there is none
   */
  public static Optional<ResourceKind> ofWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
