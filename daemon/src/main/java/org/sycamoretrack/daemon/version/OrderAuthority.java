package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.sycamoretrack.daemon.farend.JsonFields;
import org.sycamoretrack.daemon.farend.TableStore;
import org.sycamoretrack.daemon.farend.Transaction;
import org.sycamoretrack.daemon.farend.TransactionResult;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LeaseService;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;

/**
 * The right of one node to order loads for one group: an epoch in the table service, guarded by the
 * node's lease.
 *
 * <p>The group's row names the holder by its node id and the epoch of its lease:
 *
 * <pre>{@code {"epoch": 4, "nodeId": "svea-a-1", "leaseEpoch": 2, "released": false}}</pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every holder writes the row, on condition of the version that it read, with a higher epoch
 *       than any before. The epoch is the fencing number of its orders.
 *   <li>The row is taken from another holder only when that gave it back, or when its lease has
 *       ended: a lease that runs out is first watched for its whole duration and a pause margin,
 *       and then ended by a write that makes its renewal impossible.
 *   <li>{@link #epoch} looks at the clock and the lease each time. It is 0 as soon as the lease is
 *       not held, or is held with another epoch than when the row was taken.
 *   <li>Engines that ignore fencing numbers get no order from a new holder until another pause
 *       margin has passed, so that an order that was on its way when the row changed hands has
 *       arrived or timed out. Calls to engines time out sooner than that.
 * </ul>
 *
 * <p>Example: node a holds epoch 4 and is paused. Node b watches a's lease for 18 s, ends it,
 * writes epoch 5 and waits 3 s more. Node a wakes with an order on its lips: {@code epoch()} is 0,
 * since the clock is past its lease, and the order is dropped.
 *
 * <p>Confined to the control thread.
 */
final class OrderAuthority {
  /** The table of the groups' rows. */
  static final String TABLE = "weight-rollouts";

  private static final System.Logger LOG = System.getLogger(OrderAuthority.class.getName());
  private static final long RETRY_MS = 250;

  /** What a row says. */
  private record Grant(long version, long epoch, String nodeId, long leaseEpoch, boolean released) {
    static final Grant NONE = new Grant(Transaction.ABSENT, 0, "", 0, true);

    boolean exists() {
      return version != Transaction.ABSENT;
    }
  }

  private final RolloutGroup group;
  private final String nodeId;
  private final TableStore table;
  private final NodeLease lease;
  private final ControlInbox inbox;
  private final long pauseMarginMs;
  private final LongSupplier nowMs;
  private Grant held;
  private long orderAfterMs;
  private long highestFence;
  private boolean busy;
  private long retryAtMs = Long.MIN_VALUE;

  OrderAuthority(
      RolloutGroup group,
      String nodeId,
      TableStore table,
      NodeLease lease,
      ControlInbox inbox,
      long pauseMarginMs,
      LongSupplier nowMs) {
    this.group = group;
    this.nodeId = nodeId;
    this.table = table;
    this.lease = lease;
    this.inbox = inbox;
    this.pauseMarginMs = pauseMarginMs;
    this.nowMs = nowMs;
  }

  /**
   * Returns the fencing number of an order that is sent at this moment, 0 when none may be.
   *
   * @param checksFence whether the engines refuse old fencing numbers
   */
  long epoch(boolean checksFence) {
    boolean valid = held != null && lease.epoch() == held.leaseEpoch();
    return valid && (checksFence || nowMs.getAsLong() >= orderAfterMs) ? held.epoch() : 0;
  }

  /** Returns whether the row was taken and not given back, or is being read or written. */
  boolean isHolding() {
    return held != null || busy;
  }

  /**
   * Takes or gives back the right, as wanted.
   *
   * @param wanted whether this node should hold it
   * @param ordersUnderWay whether orders were sent and not answered, which delays giving back
   */
  void poll(boolean wanted, boolean ordersUnderWay) {
    long leaseEpoch = lease.epoch();
    if (held != null && leaseEpoch != 0 && leaseEpoch != held.leaseEpoch()) {
      held = null;
    }
    if (busy || nowMs.getAsLong() < retryAtMs || leaseEpoch == 0) {
      return;
    }
    retryAtMs = nowMs.getAsLong() + RETRY_MS;
    if (wanted && held == null) {
      acquire(leaseEpoch);
    } else if (!wanted && held != null && !ordersUnderWay) {
      release();
    }
  }

  /**
   * Notes a fencing number that an engine has seen.
   *
   * @param fence the number
   */
  void onFenceSeen(long fence) {
    highestFence = Math.max(highestFence, fence);
    if (held != null && fence > held.epoch()) {
      lose();
    }
  }

  /** Notes that an engine refused the fencing number: the row is read again. */
  void lose() {
    held = null;
    LOG.log(System.Logger.Level.WARNING, event("rollout-epoch-refused"));
  }

  private void acquire(long leaseEpoch) {
    busy = true;
    inbox.onResult(
        table.read(TABLE, group.key()).thenApply(OrderAuthority::toGrant),
        (grant, failure) -> {
          busy = false;
          if (failure == null) {
            onRead(grant, leaseEpoch);
          }
        });
  }

  private void onRead(Grant grant, long leaseEpoch) {
    boolean own = grant.nodeId().equals(nodeId);
    boolean current = own && grant.leaseEpoch() == leaseEpoch && !grant.released();
    if (current && grant.epoch() >= highestFence) {
      hold(grant, pauseMarginMs);
    } else if (own || grant.released()) {
      take(grant, leaseEpoch);
    } else {
      readLease(grant, leaseEpoch);
    }
  }

  /** Finds out whether the lease under which the row was taken can't be in use any more. */
  private void readLease(Grant grant, long leaseEpoch) {
    busy = true;
    inbox.onResult(
        table.read(LeaseService.TABLE, grant.nodeId()).thenApply(OrderAuthority::leaseEpochOf),
        (currentEpoch, failure) -> {
          busy = false;
          if (failure == null && currentEpoch > grant.leaseEpoch()) {
            take(grant, leaseEpoch);
          } else if (failure == null) {
            endLease(grant, leaseEpoch);
          }
        });
  }

  private void endLease(Grant grant, long leaseEpoch) {
    busy = true;
    inbox.onResult(
        lease.endExpired(grant.nodeId()),
        (ended, failure) -> {
          busy = false;
          if (failure == null && ended) {
            take(grant, leaseEpoch);
          }
        });
  }

  private void take(Grant previous, long leaseEpoch) {
    long epoch = Math.max(previous.epoch(), highestFence) + 1;
    Grant next = new Grant(previous.version(), epoch, nodeId, leaseEpoch, false);
    long waitMs = previous.exists() ? pauseMarginMs : 0;
    write(
        next,
        "take",
        version -> hold(new Grant(version, epoch, nodeId, leaseEpoch, false), waitMs));
  }

  private void hold(Grant grant, long waitMs) {
    held = grant;
    orderAfterMs = nowMs.getAsLong() + waitMs;
    LOG.log(System.Logger.Level.INFO, event("rollout-epoch-taken").with("epoch", grant.epoch()));
  }

  private void release() {
    Grant given = held;
    held = null;
    Grant next = new Grant(given.version(), given.epoch(), nodeId, given.leaseEpoch(), true);
    write(
        next,
        "release",
        version ->
            LOG.log(
                System.Logger.Level.INFO,
                event("rollout-epoch-released").with("epoch", given.epoch())));
  }

  private void write(Grant next, String action, LongConsumer onCommitted) {
    busy = true;
    Transaction transaction =
        Transaction.builder("rollout-" + action + "/" + group.key() + "/" + next.epoch())
            .put(TABLE, group.key(), next.version(), toJson(next))
            .build();
    inbox.onResult(
        table.transact(transaction),
        (result, failure) -> {
          busy = false;
          if (result instanceof TransactionResult.Committed committed) {
            onCommitted.accept(committed.versions().getFirst());
          }
        });
  }

  private LogEvent event(String name) {
    return LogEvent.of(name).with("pool", group.pool()).with("zone", group.zone());
  }

  private static JsonNode toJson(Grant grant) {
    return Json.object()
        .put("epoch", grant.epoch())
        .put("nodeId", grant.nodeId())
        .put("leaseEpoch", grant.leaseEpoch())
        .put("released", grant.released());
  }

  private static long leaseEpochOf(Optional<TableStore.Row> row) {
    return row.isEmpty() ? Long.MAX_VALUE : JsonFields.requireLong(row.get().value(), "epoch");
  }

  private static Grant toGrant(Optional<TableStore.Row> row) {
    if (row.isEmpty()) {
      return Grant.NONE;
    }
    JsonNode value = row.get().value();
    return new Grant(
        row.get().version(),
        JsonFields.requireLong(value, "epoch"),
        JsonFields.requireText(value, "nodeId"),
        JsonFields.requireLong(value, "leaseEpoch"),
        JsonFields.requireBoolean(value, "released"));
  }
}
