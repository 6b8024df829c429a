package org.sycamoretrack.daemon.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.sycamoretrack.daemon.client.JsonFields;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LeaseService;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.process.Json;

/**
 * The exclusive right to send load commands to one group: an epoch in the table service, bound to
 * the lease of the node that holds it.
 *
 * <p>The row of the group names the holder by its node id and the epoch of its lease:
 *
 * <pre>{@code {"epoch": 4, "nodeId": "svea-a-1", "leaseEpoch": 2, "released": false}}</pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every holder writes the row, on condition of the version that it read, with a higher epoch
 *       than any before. The epoch is the fencing token of its load commands.
 *   <li>The row is taken over from another holder only when that holder has released it or its
 *       lease has ended. A lease that is not renewed is first watched for its whole duration plus a
 *       pause margin, and then ended by a write that makes its renewal impossible.
 *   <li>{@link #epoch} checks the clock and the lease on each call. It returns 0 as soon as the
 *       lease is not held, or is held with another epoch than when the row was taken.
 *   <li>Engines that ignore fencing tokens get no load command from a new holder until another
 *       pause margin has passed, so that a command that was in flight when the holder changed has
 *       arrived or timed out. Calls to engines time out sooner than that.
 * </ul>
 *
 * <p>Example: node a holds epoch 4 and its process is paused. Node b watches the lease of a for 18
 * s, ends it, writes epoch 5 and waits 3 s more. Node a resumes and is about to send a load
 * command: {@code epoch()} returns 0, since its lease has expired by the clock, and the command is
 * dropped.
 *
 * <p>Confined to the control thread.
 */
final class RolloutEpoch {
  /** The table with one row for each group. */
  static final String TABLE = "weight-rollouts";

  private static final System.Logger LOG = System.getLogger(RolloutEpoch.class.getName());
  private static final long RETRY_INTERVAL_MS = 250;

  /** The contents of a row. */
  private record EpochRow(
      long rowVersion, long epoch, String nodeId, long leaseEpoch, boolean released) {
    static final EpochRow NONE = new EpochRow(Transaction.ABSENT, 0, "", 0, true);

    boolean exists() {
      return rowVersion != Transaction.ABSENT;
    }
  }

  private final RolloutGroup group;
  private final String nodeId;
  private final TableStore table;
  private final NodeLease lease;
  private final ControlInbox inbox;
  private final long pauseMarginMs;
  private final LongSupplier nowMs;
  private EpochRow heldRow;
  private long loadCommandsAllowedAtMs;
  private long highestSeenFence;
  private boolean callPending;
  private long retryAtMs = Long.MIN_VALUE;

  RolloutEpoch(
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
   * Returns the fencing token of a load command that is sent at this moment, or 0 when none may be
   * sent.
   *
   * @param checksFence whether the engines reject stale fencing tokens
   */
  long epoch(boolean checksFence) {
    boolean valid = heldRow != null && lease.epoch() == heldRow.leaseEpoch();
    return valid && (checksFence || nowMs.getAsLong() >= loadCommandsAllowedAtMs)
        ? heldRow.epoch()
        : 0;
  }

  /** Returns whether this node took the row and did not release it, or is reading or writing it. */
  boolean isHolding() {
    return heldRow != null || callPending;
  }

  /**
   * Acquires or releases the epoch as wanted.
   *
   * @param wanted whether this node should hold the epoch
   * @param loadCommandsPending whether responses to load commands are pending, which delays the
   *     release
   */
  void poll(boolean wanted, boolean loadCommandsPending) {
    long leaseEpoch = lease.epoch();
    if (heldRow != null && leaseEpoch != 0 && leaseEpoch != heldRow.leaseEpoch()) {
      heldRow = null;
    }
    if (callPending || nowMs.getAsLong() < retryAtMs || leaseEpoch == 0) {
      return;
    }
    retryAtMs = nowMs.getAsLong() + RETRY_INTERVAL_MS;
    if (wanted && heldRow == null) {
      acquire(leaseEpoch);
    } else if (!wanted && heldRow != null && !loadCommandsPending) {
      release();
    }
  }

  /**
   * Records a fencing token that an engine has seen.
   *
   * @param fence the token
   */
  void onFenceSeen(long fence) {
    highestSeenFence = Math.max(highestSeenFence, fence);
    if (heldRow != null && fence > heldRow.epoch()) {
      invalidate();
    }
  }

  /**
   * Stops using the epoch after an engine has rejected it or has seen a higher one. The row is read
   * again at a later poll.
   */
  void invalidate() {
    heldRow = null;
    LOG.log(System.Logger.Level.WARNING, event("rollout-epoch-refused"));
  }

  private void acquire(long leaseEpoch) {
    callPending = true;
    inbox.onResult(
        table.read(TABLE, group.key()).thenApply(RolloutEpoch::toEpochRow),
        (epochRow, failure) -> {
          callPending = false;
          if (failure == null) {
            onRead(epochRow, leaseEpoch);
          }
        });
  }

  private void onRead(EpochRow epochRow, long leaseEpoch) {
    boolean ownedByThisNode = epochRow.nodeId().equals(nodeId);
    boolean stillHeld =
        ownedByThisNode && epochRow.leaseEpoch() == leaseEpoch && !epochRow.released();
    if (stillHeld && epochRow.epoch() >= highestSeenFence) {
      onHeld(epochRow, pauseMarginMs);
    } else if (ownedByThisNode || epochRow.released()) {
      take(epochRow, leaseEpoch);
    } else {
      checkHolderLease(epochRow, leaseEpoch);
    }
  }

  /**
   * Reads whether the lease under which the row was taken has been succeeded by a newer one;
   * otherwise tries to end it.
   */
  private void checkHolderLease(EpochRow epochRow, long leaseEpoch) {
    callPending = true;
    inbox.onResult(
        table.read(LeaseService.TABLE, epochRow.nodeId()).thenApply(RolloutEpoch::leaseEpochOf),
        (currentEpoch, failure) -> {
          callPending = false;
          if (failure == null && currentEpoch > epochRow.leaseEpoch()) {
            take(epochRow, leaseEpoch);
          } else if (failure == null) {
            endExpiredLease(epochRow, leaseEpoch);
          }
        });
  }

  private void endExpiredLease(EpochRow epochRow, long leaseEpoch) {
    callPending = true;
    inbox.onResult(
        lease.endExpired(epochRow.nodeId()),
        (ended, failure) -> {
          callPending = false;
          if (failure == null && ended) {
            take(epochRow, leaseEpoch);
          }
        });
  }

  private void take(EpochRow previous, long leaseEpoch) {
    long epoch = Math.max(previous.epoch(), highestSeenFence) + 1;
    EpochRow next = new EpochRow(previous.rowVersion(), epoch, nodeId, leaseEpoch, false);
    long waitMs = previous.exists() ? pauseMarginMs : 0;
    write(
        next,
        "take",
        version -> onHeld(new EpochRow(version, epoch, nodeId, leaseEpoch, false), waitMs));
  }

  private void onHeld(EpochRow epochRow, long waitMs) {
    heldRow = epochRow;
    loadCommandsAllowedAtMs = nowMs.getAsLong() + waitMs;
    LOG.log(System.Logger.Level.INFO, event("rollout-epoch-taken").with("epoch", epochRow.epoch()));
  }

  private void release() {
    EpochRow epochRow = heldRow;
    heldRow = null;
    EpochRow next =
        new EpochRow(epochRow.rowVersion(), epochRow.epoch(), nodeId, epochRow.leaseEpoch(), true);
    write(
        next,
        "release",
        version ->
            LOG.log(
                System.Logger.Level.INFO,
                event("rollout-epoch-released").with("epoch", epochRow.epoch())));
  }

  private void write(EpochRow next, String action, LongConsumer onCommitted) {
    callPending = true;
    Transaction transaction =
        Transaction.builder("rollout-" + action + "/" + group.key() + "/" + next.epoch())
            .put(TABLE, group.key(), next.rowVersion(), toJson(next))
            .build();
    inbox.onResult(
        table.transact(transaction),
        (result, failure) -> {
          callPending = false;
          if (result instanceof TransactionResult.Committed committed) {
            onCommitted.accept(committed.versions().getFirst());
          }
        });
  }

  private LogEvent event(String name) {
    return LogEvent.of(name).with("pool", group.pool()).with("zone", group.zone());
  }

  private static JsonNode toJson(EpochRow epochRow) {
    return Json.object()
        .put("epoch", epochRow.epoch())
        .put("nodeId", epochRow.nodeId())
        .put("leaseEpoch", epochRow.leaseEpoch())
        .put("released", epochRow.released());
  }

  private static long leaseEpochOf(Optional<TableStore.Row> row) {
    return row.isEmpty() ? Long.MAX_VALUE : JsonFields.requireLong(row.get().value(), "epoch");
  }

  private static EpochRow toEpochRow(Optional<TableStore.Row> row) {
    if (row.isEmpty()) {
      return EpochRow.NONE;
    }
    JsonNode value = row.get().value();
    return new EpochRow(
        row.get().version(),
        JsonFields.requireLong(value, "epoch"),
        JsonFields.requireText(value, "nodeId"),
        JsonFields.requireLong(value, "leaseEpoch"),
        JsonFields.requireBoolean(value, "released"));
  }
}
