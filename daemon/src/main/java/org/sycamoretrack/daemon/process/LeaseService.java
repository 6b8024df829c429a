package org.sycamoretrack.daemon.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.sycamoretrack.core.process.ErrorCode;
import org.sycamoretrack.core.process.Lease;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.core.process.SycamoreException;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.JsonFields;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.client.Transaction;
import org.sycamoretrack.daemon.client.TransactionResult;
import org.sycamoretrack.transport.process.Json;

/**
 * Maintains this node's lease in the table service, and ends the leases of nodes that are gone.
 *
 * <p>{@link Lease} makes the decisions; this class executes its commands. {@link #poll} and the
 * handlers of results run on the control thread. {@link #holds} and {@link #epoch} may be called
 * from any thread. {@code holds} reads the clock on each call: call it immediately before each
 * action that the lease protects, never once for several actions.
 *
 * <p>The table {@code leases} has one row per node, with the node id as its key:
 *
 * <pre>{@code
 * {"nodeId": "svea-a-1", "epoch": 3, "incarnation": "…", "sequence": 17,
 *  "address": "127.0.0.1:7101", "zone": "svea-a", "released": false}
 * }</pre>
 */
public final class LeaseService {
  /** The table of the leases. */
  public static final String TABLE = "leases";

  private static final System.Logger LOG = System.getLogger(LeaseService.class.getName());

  /**
   * The holder of a lease.
   *
   * @param nodeId the id of the node
   * @param incarnation identifies the process uniquely
   * @param address the address for peers
   * @param zone the availability zone of the node
   */
  public record Holder(String nodeId, String incarnation, String address, String zone) {
    /** Checks that no component is null. */
    public Holder {
      Objects.requireNonNull(nodeId, "nodeId");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(address, "address");
      Objects.requireNonNull(zone, "zone");
    }
  }

  /** The state of the lease that is published to other threads. */
  private record Grant(long epoch, long usableUntilMs) {}

  private static final Grant NO_GRANT = new Grant(0, Long.MIN_VALUE);

  private final TableStore table;
  private final Holder holder;
  private final LeaseTimings timings;
  private final NanoClock clock;
  private final ControlInbox inbox;
  private final Lease lease;
  private final Map<String, LeaseWatch> watches = new HashMap<>();
  private final CompletableFuture<Void> released = new CompletableFuture<>();
  private volatile Grant grant = NO_GRANT;

  /**
   * Creates a service, which doesn't hold a lease until {@link #poll} has acquired it.
   *
   * @param table the table service
   * @param holder the holder of the lease
   * @param timings the durations of the lease
   * @param clock the monotonic clock
   * @param control passes commands to the control thread
   */
  public LeaseService(
      TableStore table,
      Holder holder,
      LeaseTimings timings,
      NanoClock clock,
      ControlInbox.ControlExecutor control) {
    this.table = table;
    this.holder = holder;
    this.timings = timings;
    this.clock = clock;
    this.inbox = new ControlInbox(control);
    this.lease = new Lease(timings, holder.incarnation());
  }

  /** Returns whether the lease is held now. May be called from any thread. */
  public boolean holds() {
    return nowMs() < grant.usableUntilMs();
  }

  /** Returns the epoch of the lease, 0 if it isn't held now. May be called from any thread. */
  public long epoch() {
    Grant current = grant;
    return nowMs() < current.usableUntilMs() ? current.epoch() : 0;
  }

  /** Runs the actions that are due. Called on the control thread several times a second. */
  public void poll() {
    inbox.drain();
    long nowMs = nowMs();
    switch (lease.next(nowMs)) {
      case Lease.Command.Wait wait -> publish();
      case Lease.Command.Read read -> read();
      case Lease.Command.Write write -> write(write.row());
    }
  }

  private void read() {
    inbox.onResult(
        table.read(TABLE, holder.nodeId()).thenApply(LeaseService::toRow),
        (row, failure) -> {
          if (failure == null) {
            lease.onRead(row, nowMs());
          } else {
            lease.onReadFailed(nowMs());
          }
          publish();
        });
  }

  private void write(Lease.Row row) {
    Transaction transaction =
        Transaction.builder("lease/" + holder.nodeId() + "/" + row.epoch() + "/" + row.sequence())
            .put(TABLE, holder.nodeId(), row.version(), toJson(row))
            .build();
    inbox.onResult(table.transact(transaction), this::onWriteResult);
  }

  private void onWriteResult(TransactionResult result, Throwable failure) {
    switch (result) {
      case TransactionResult.Committed committed ->
          lease.onWritten(committed.versions().getFirst());
      case TransactionResult.Conflict conflict -> lease.onOutcomeUnknown(nowMs());
      case null -> onWriteFailed(failure);
    }
    publish();
  }

  private void onWriteFailed(Throwable failure) {
    if (Failures.outcome(failure) == ExecutionOutcome.NOT_RUN) {
      lease.onRefused(nowMs());
    } else {
      lease.onOutcomeUnknown(nowMs());
    }
  }

  private void publish() {
    Grant before = grant;
    Grant now = lease.holds(nowMs()) ? new Grant(lease.epoch(), lease.usableUntilMs()) : NO_GRANT;
    if (!now.equals(before)) {
      grant = now;
    }
    if (now.epoch() != before.epoch()) {
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of(now.epoch() == 0 ? "lease-lost" : "lease-taken")
              .with("epoch", Math.max(now.epoch(), before.epoch())));
    }
    if (lease.isReleased()) {
      released.complete(null);
    }
  }

  /**
   * Releases the lease, so that others need not wait for its expiry. Called on the control thread;
   * {@link #poll} must still be called until the returned stage completes.
   *
   * @return completes when the release has been written
   */
  public CompletionStage<Void> release() {
    lease.release();
    publish();
    return released;
  }

  /**
   * Ends the lease of another node if it has expired. Called on the control thread repeatedly until
   * the result is true: the row must stay unchanged for {@link LeaseTimings#takeOverAfterMs}.
   *
   * @param nodeId the id of the other node
   * @return true if the node holds no lease and its process can't renew the previous one
   */
  public CompletionStage<Boolean> endExpired(String nodeId) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    long sentAtMs = nowMs();
    inbox.onResult(
        table.read(TABLE, nodeId),
        (row, failure) -> {
          if (failure != null) {
            result.completeExceptionally(failure);
          } else {
            onPeerLeaseRead(nodeId, row, sentAtMs, result);
          }
        });
    return result;
  }

  private void onPeerLeaseRead(
      String nodeId,
      Optional<TableStore.Row> found,
      long sentAtMs,
      CompletableFuture<Boolean> result) {
    Lease.Row row;
    try {
      row = toRow(found);
    } catch (SycamoreException e) {
      result.completeExceptionally(e);
      return;
    }
    if (row.released()) {
      watches.remove(nodeId);
      result.complete(true);
      return;
    }
    LeaseWatch watch =
        watches.computeIfAbsent(nodeId, any -> new LeaseWatch(timings.takeOverAfterMs()));
    watch.onRead(row.version(), sentAtMs, nowMs());
    if (!watch.isExpired()) {
      result.complete(false);
      return;
    }
    endLease(nodeId, found.orElseThrow(), result);
  }

  private void endLease(String nodeId, TableStore.Row row, CompletableFuture<Boolean> result) {
    JsonNode ended = ((ObjectNode) row.value().deepCopy()).put("released", true);
    Transaction transaction =
        Transaction.builder("lease-end/" + nodeId + "/" + row.version())
            .put(TABLE, nodeId, row.version(), ended)
            .build();
    inbox.onResult(
        table.transact(transaction),
        (writeResult, failure) -> {
          if (failure != null) {
            result.completeExceptionally(failure);
          } else {
            result.complete(writeResult instanceof TransactionResult.Committed);
          }
        });
  }

  private long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime());
  }

  private JsonNode toJson(Lease.Row row) {
    return Json.object()
        .put("nodeId", holder.nodeId())
        .put("epoch", row.epoch())
        .put("incarnation", row.incarnation())
        .put("sequence", row.sequence())
        .put("address", holder.address())
        .put("zone", holder.zone())
        .put("released", row.released());
  }

  private static Lease.Row toRow(Optional<TableStore.Row> found) {
    if (found.isEmpty()) {
      return Lease.Row.NONE;
    }
    JsonNode value = found.get().value();
    try {
      return new Lease.Row(
          found.get().version(),
          JsonFields.requireLong(value, "epoch"),
          JsonFields.requireText(value, "incarnation"),
          JsonFields.requireLong(value, "sequence"),
          JsonFields.requireBoolean(value, "released"));
    } catch (IllegalArgumentException e) {
      String message = "lease row " + found.get().key() + ": " + e.getMessage();
      throw new SycamoreException(ErrorCode.INTERNAL, ExecutionOutcome.NOT_RUN, message, e);
    }
  }
}
