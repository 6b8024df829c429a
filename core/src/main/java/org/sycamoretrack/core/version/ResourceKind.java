package org.sycamoretrack.core.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of resources that operators manage. */
public enum ResourceKind {
  /** Rollout tracks, each a sequence of training steps. */
  TRACKS,
  /** Groups of trainers that share pools. */
  TRAINER_GROUPS,
  /** Pools of endpoints that serve the same model or service. */
  POOLS,
  /** Endpoints, each in one pool. */
  ENDPOINTS,
  /** HTTP services without a model, each served by one pool. */
  SERVICES,
  /** Drains, which stop new work from being sent to matching endpoints. */
  DRAINS;

  private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

  /** Returns the name used in URL paths and JSON, for example {@code trainer-groups}. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the kind with a given wire name.
   *
   * @param wireName the name
   * @return the kind, or empty if no kind has this name
   */
  public static Optional<ResourceKind> ofWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
