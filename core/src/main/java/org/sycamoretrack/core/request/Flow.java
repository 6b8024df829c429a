package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * A flow of the fair queue: the requests of one track or one customer. Within a request class,
 * capacity is shared fairly between flows.
 *
 * @param key the name of the track or customer
 * @param share the weight of the flow relative to the other flows of its class, above 0
 */
public record Flow(String key, double share) {
  /** Checks that the key is present and the weight is positive. */
  public Flow {
    Objects.requireNonNull(key);
    if (!(share > 0)) {
      throw new IllegalArgumentException("weight of a flow must be above 0: " + share);
    }
  }

  /**
   * Returns a flow with weight 1.
   *
   * @param key the name of the track or customer
   */
  public static Flow of(String key) {
    return new Flow(key, 1.0);
  }
}
