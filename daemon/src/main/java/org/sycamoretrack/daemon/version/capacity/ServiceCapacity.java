package org.sycamoretrack.daemon.version.capacity;

import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.capacity.CapacityDecision;
import org.sycamoretrack.core.version.capacity.CapacityDecision.Order;
import org.sycamoretrack.core.version.capacity.CapacityPlanner;
import org.sycamoretrack.core.version.capacity.CapacityRecord;
import org.sycamoretrack.core.version.capacity.CapacityRecord.Outcome;
import org.sycamoretrack.core.version.capacity.EndpointKind;
import org.sycamoretrack.daemon.client.CapacityOrder;
import org.sycamoretrack.daemon.client.DutyOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;

/**
 * Plans, stores and sends the orders of one service under one epoch of the lease.
 *
 * <p>While a write or an order is in flight, nothing is planned, so each decision knows the outcome
 * of the previous one.
 *
 * <p>Confined to the control loop.
 */
final class ServiceCapacity {
  private static final System.Logger LOG = System.getLogger(ServiceCapacity.class.getName());

  private final CapacityPlanner planner = new CapacityPlanner();
  private final String name;
  private final CapacityService duty;
  private final DutyLease lease;
  private final long epoch;
  private CapacityRecord record = CapacityRecord.EMPTY;
  private long rowVersion = PartitionWrite.ABSENT;
  private int callsInFlight;
  private boolean unavailable;
  private boolean closed;

  /**
   * Creates an instance for the current epoch.
   *
   * @param name the name of the service
   * @param duty sends writes and orders
   * @param lease the lease of the duty, which this node holds
   */
  ServiceCapacity(String name, CapacityService duty, DutyLease lease) {
    this.name = name;
    this.duty = duty;
    this.lease = lease;
    this.epoch = lease.epoch();
  }

  /**
   * Continues from the record of the previous holder.
   *
   * @param row the row
   * @throws IllegalArgumentException when the value of the row is malformed
   */
  void load(Row row) {
    rowVersion = row.version();
    record = CapacityRows.decode(row, MonotonicClock.nowMs(), System.currentTimeMillis());
  }

  /** Returns the current record. */
  CapacityRecord record() {
    return record;
  }

  /** Ends this instance. Responses that arrive later are only logged. */
  void close() {
    closed = true;
  }

  private boolean isCurrent() {
    return !closed && epoch == lease.epoch();
  }

  /** Plans and sends orders, unless a write or an order is in flight. */
  void plan() {
    if (callsInFlight > 0 || !isCurrent() || !lease.mayCall()) {
      return;
    }
    duty.input(name)
        .ifPresent(
            input -> {
              int baseline = record.baseline();
              CapacityDecision decision = planner.plan(input, record, MonotonicClock.nowMs());
              record = decision.record();
              if (!decision.orders().isEmpty()) {
                store(() -> decision.orders().forEach(this::send));
              } else if (baseline != record.baseline()) {
                store(() -> {});
              }
            });
  }

  /** Stores the record, then runs an action. */
  private void store(Runnable then) {
    callsInFlight++;
    PartitionWrite write =
        PartitionWrite.in(Duty.CAPACITY.id())
            .expect(ControlTables.CONTROL, CapacityRows.key(name), rowVersion)
            .put(
                ControlTables.CONTROL,
                CapacityRows.key(name),
                CapacityRows.encode(record, MonotonicClock.nowMs(), System.currentTimeMillis()))
            .build();
    duty.commit(write)
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  callsInFlight--;
                  if (!isCurrent()) {
                    return;
                  }
                  if (failure == null && result instanceof WriteResult.Committed committed) {
                    rowVersion = committed.version();
                    then.run();
                    return;
                  }
                  // The row may have been written. It is read again before the next order.
                  LOG.log(
                      System.Logger.Level.WARNING,
                      LogEvent.of("capacity-not-stored")
                          .with("service", name)
                          .with("epoch", epoch)
                          .with(
                              "reason",
                              failure == null ? result : Failures.unwrap(failure).getMessage()));
                  duty.forget();
                }));
  }

  /** Sends an order that the stored record contains. */
  private void send(Order order) {
    // Checked before each call: the write may have taken long, and another node may hold the lease.
    if (!isCurrent() || !lease.mayCall()) {
      return;
    }
    callsInFlight++;
    boolean spot = order.pool().kind() == EndpointKind.SPOT;
    duty.send(new CapacityOrder(name, order.pool().zone(), order.number(), spot))
        .whenComplete(Failures.loggingExceptions((outcome, failure) -> onOutcome(order, outcome)));
  }

  private void onOutcome(Order order, DutyOutcome outcome) {
    callsInFlight--;
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("capacity-ordered")
            .with("service", name)
            .with("zone", order.pool().zone())
            .with("kind", CapacityRows.label(order.pool().kind()))
            .with("number", order.number())
            .with("reason", order.reason())
            .with("required", record.required())
            .with("available", record.available())
            .with("epoch", epoch)
            .with("outcome", outcome));
    if (!isCurrent()) {
      return;
    }
    record =
        record.onOutcome(order.pool(), order.number(), planned(outcome), MonotonicClock.nowMs());
    unavailable |= outcome instanceof DutyOutcome.Unavailable;
    if (callsInFlight == 0) {
      boolean again = unavailable;
      unavailable = false;
      store(again ? this::plan : () -> {});
    }
    duty.publish();
  }

  /** A refused order may have been executed, so it is treated like one without a response. */
  private static Outcome planned(DutyOutcome outcome) {
    return switch (outcome) {
      case DutyOutcome.Done done -> Outcome.ACCEPTED;
      case DutyOutcome.Unavailable none -> Outcome.UNAVAILABLE;
      case DutyOutcome.Throttled throttled -> Outcome.REFUSED;
      case DutyOutcome.Refused refused -> Outcome.UNKNOWN;
      case DutyOutcome.Unknown unknown -> Outcome.UNKNOWN;
    };
  }
}
