package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.daemon.farend.TableStore;
import org.sycamoretrack.daemon.process.LeaseService;

/**
 * Tells whether the process that owns a key range seems to be gone, from its node's lease.
 *
 * <p>It is gone when the lease was given back or taken by another process of the same node, or when
 * the membership doesn't know the node as alive and the lease's row stands still.
 *
 * <p>This is a hint that keeps nodes which don't see each other from taking ranges back and forth.
 * Nothing depends on its being right: the epoch of the range decides whose batches are written.
 * Confined to the control thread, but for the reading itself.
 */
final class RangeOwnerMonitor {
  private final TableStore table;
  private final long durationMs;
  private final LongSupplier clockMs;
  private final Map<String, LeaseWatch> watches = new HashMap<>();

  RangeOwnerMonitor(TableStore table, long durationMs, LongSupplier clockMs) {
    this.table = table;
    this.durationMs = durationMs;
    this.clockMs = clockMs;
  }

  /** Reads a node's lease; the answer goes to {@link #isGone} on the control thread. */
  CompletionStage<Optional<TableStore.Row>> readLease(String nodeId) {
    return table.read(LeaseService.TABLE, nodeId);
  }

  /**
   * Takes a lease as it was read.
   *
   * @param owner the owner of the range
   * @param row the lease of its node
   * @param sentMs when the read was sent
   * @param alive whether the membership knows the node as alive
   * @return whether the owner seems to be gone
   */
  boolean isGone(ClaimTable.Owner owner, Optional<TableStore.Row> row, long sentMs, boolean alive) {
    if (row.isEmpty() || hasEnded(row.get().value(), owner.writer())) {
      watches.remove(owner.nodeId());
      return true;
    }
    LeaseWatch watch =
        watches.computeIfAbsent(owner.nodeId(), unused -> new LeaseWatch(durationMs));
    watch.onSeen(row.get().version(), sentMs, clockMs.getAsLong());
    return !alive && watch.isExpired();
  }

  private static boolean hasEnded(JsonNode lease, String writer) {
    return lease.path("released").asBoolean() || !lease.path("incarnation").asText().equals(writer);
  }
}
