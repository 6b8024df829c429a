package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * A flow of the fair queue: the requests of one track or one customer. Within a request class,
 * capacity is shared fairly between flows.
 *
 * @param key the name of the track or customer
 * @param weight the weight of the flow relative to the other flows of its class, above 0
 */
public record QueueFlow(String key, double weight) {
  /** Checks that the key is present and the weight is positive. */
  public QueueFlow {
    Objects.requireNonNull(key);
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight of a flow must be above 0: " + weight);
    }
  }

  /**
   * Returns a flow with weight 1.
   *
   * @param key the name of the track or customer
   */
  public static QueueFlow of(String key) {
    return new QueueFlow(key, 1.0);
  }
}
