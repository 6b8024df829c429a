package org.sycamoretrack.daemon.version.duty;

/** A kind of calls to other systems that one node at a time makes, while it holds a lease. */
public enum Duty {
  /** Load commands to endpoints. */
  ORDERS("orders", "order-lease"),

  /** Usage reports to the control service. */
  USAGE("usage", "duty"),

  /** Capacity orders to the control service. */
  CAPACITY("capacity", "duty");

  private final String id;
  private final String eventPrefix;

  Duty(String id, String eventPrefix) {
    this.id = id;
    this.eventPrefix = eventPrefix;
  }

  /** Returns the name in the store, in metrics and in the log. */
  public String id() {
    return id;
  }

  /** Returns the log event for an acquisition of the lease. */
  String takenEvent() {
    return eventPrefix + "-taken";
  }

  /** Returns the log event for a loss of the lease. */
  String lostEvent() {
    return eventPrefix + "-lost";
  }
}
