package org.sycamoretrack.core.version.capacity;

import java.util.List;

/**
 * What {@link CapacityPlanner} decided for a service.
 *
 * @param record the record after the decision; it has to be stored before the orders are sent
 * @param orders the orders to send now
 */
public record CapacityDecision(CapacityRecord record, List<Order> orders) {
  /** Copies the orders. */
  public CapacityDecision {
    orders = List.copyOf(orders);
  }

  /** Why an order is sent. */
  public enum Reason {
    /** Endpoints were lost by reclaim or crash. */
    LOST,
    /** Open batches can't complete by their deadline. */
    DEADLINE,
    /** Endpoints were not needed for some time. */
    SURPLUS,
    /** An earlier order had no response. */
    UNCONFIRMED
  }

  /**
   * An order.
   *
   * @param pool the zone and kind
   * @param number the number of endpoints that the pool should have
   * @param reason why it is sent
   */
  public record Order(CapacityPool pool, int number, Reason reason) {}
}
