package org.sycamoretrack.daemon.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.process.LeaseService;

/**
 * Decides from a node's lease whether the process that owns a key range is presumed to have
 * stopped.
 *
 * <p>The owner has stopped when its node has no lease, or when the lease was released or is held by
 * another process of the same node. It is presumed to have stopped when the membership does not
 * list the node as alive and the lease row stays unchanged.
 *
 * <p>This is a hint that keeps nodes that can't see each other from repeatedly taking ranges from
 * each other. Correctness does not depend on it: the epoch of the range decides whose batches are
 * written. Confined to the control thread, except for the read itself.
 */
final class RangeOwnerMonitor {
  private final TableStore table;
  private final long takeOverAfterMs;
  private final LongSupplier clockMs;
  private final Map<String, LeaseWatch> watches = new HashMap<>();

  RangeOwnerMonitor(TableStore table, long takeOverAfterMs, LongSupplier clockMs) {
    this.table = table;
    this.takeOverAfterMs = takeOverAfterMs;
    this.clockMs = clockMs;
  }

  /** Reads a node's lease. The result is to be passed to {@link #isGone} on the control thread. */
  CompletionStage<Optional<TableStore.Row>> readLease(String nodeId) {
    return table.read(LeaseService.TABLE, nodeId);
  }

  /**
   * Evaluates a lease that was read.
   *
   * @param owner the owner of the range
   * @param row the lease of the owner's node, empty when there is none
   * @param sentMs when the read was sent
   * @param alive whether the membership lists the node as alive
   * @return whether the owner is presumed to have stopped
   */
  boolean isGone(ClaimTable.Owner owner, Optional<TableStore.Row> row, long sentMs, boolean alive) {
    if (row.isEmpty() || hasEnded(row.get().value(), owner.writer())) {
      watches.remove(owner.nodeId());
      return true;
    }
    LeaseWatch watch =
        watches.computeIfAbsent(owner.nodeId(), unused -> new LeaseWatch(takeOverAfterMs));
    watch.onRead(row.get().version(), sentMs, clockMs.getAsLong());
    return !alive && watch.isExpired();
  }

  private static boolean hasEnded(JsonNode lease, String writer) {
    return lease.path("released").asBoolean() || !lease.path("incarnation").asText().equals(writer);
  }
}
