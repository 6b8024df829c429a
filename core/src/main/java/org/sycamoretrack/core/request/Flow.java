package org.sycamoretrack.core.request;

import java.util.Objects;

/**
 * What fairness inside a class is measured by: a track or a customer.
 *
 * @param key the name of the track or customer
 * @param share the weight of the flow among the flows of its class, above 0
 */
public record Flow(String key, double share) {
  /** Checks the parts. */
  public Flow {
    Objects.requireNonNull(key);
    if (!(share > 0)) {
      throw new IllegalArgumentException("share must be above 0: " + share);
    }
  }

  /**
   * Returns a flow of share 1.
   *
   * @param key the name of the track or customer
   */
  public static Flow of(String key) {
    return new Flow(key, 1.0);
  }
}
