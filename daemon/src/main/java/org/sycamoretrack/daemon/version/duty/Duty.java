package org.sycamoretrack.daemon.version.duty;

import org.sycamoretrack.daemon.version.deployment.ControlTables;

/** A kind of calls to other systems that one node at a time makes, while it holds a lease. */
public enum Duty {
  /** Load commands to endpoints. Its lease is where earlier releases look for it. */
  ORDERS("orders", ControlTables.CONTROL, "order-lease"),

  /** Usage reports to the control service. */
  USAGE("usage", ControlTables.DUTIES, "duty"),

  /** Capacity orders to the control service. */
  CAPACITY("capacity", ControlTables.DUTIES, "duty");

  private final String id;
  private final String table;
  private final String eventPrefix;

  Duty(String id, String table, String eventPrefix) {
    this.id = id;
    this.table = table;
    this.eventPrefix = eventPrefix;
  }

  /** Returns the table of the lease, in which the partition has the id of the duty. */
  public String table() {
    return table;
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
