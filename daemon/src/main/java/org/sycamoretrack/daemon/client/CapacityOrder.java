package org.sycamoretrack.daemon.client;

import java.util.Objects;

/**
 * An order that sets the number of endpoints of a service in a zone.
 *
 * @param service the service
 * @param zone the availability zone
 * @param endpoints the number of endpoints of this kind that the zone shall have
 * @param spot whether the order is for spot endpoints, which cost less and may be reclaimed at
 *     short notice, rather than for on-demand endpoints
 */
public record CapacityOrder(String service, String zone, int endpoints, boolean spot) {
  /** Checks the values. */
  public CapacityOrder {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(zone, "zone");
    if (endpoints < 0) {
      throw new IllegalArgumentException("the number of endpoints must not be negative");
    }
  }
}
