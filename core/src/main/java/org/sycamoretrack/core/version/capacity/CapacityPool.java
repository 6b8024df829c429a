package org.sycamoretrack.core.version.capacity;

import java.util.Comparator;

/**
 * The endpoints of one kind in one zone, the unit in which capacity is ordered.
 *
 * @param zone the availability zone
 * @param kind the kind of the endpoints
 */
public record CapacityPool(String zone, EndpointKind kind) implements Comparable<CapacityPool> {
  private static final Comparator<CapacityPool> ORDER =
      Comparator.comparing(CapacityPool::zone).thenComparing(CapacityPool::kind);

  @Override
  public int compareTo(CapacityPool other) {
    return ORDER.compare(this, other);
  }
}
