package org.sycamoretrack.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sycamoretrack.core.process.LeaseWatch;
import org.sycamoretrack.daemon.platform.TableStore;
import org.sycamoretrack.daemon.process.LeaseService;

/**
 * Tells whether the owner of a key range seems to be gone, from its lease's row.
 *
 * <p>This is a hint that keeps nodes which don't see each other from taking ranges back and forth.
 * Nothing depends on its being right: the epoch of the range decides whose batches are written.
 * Confined to the control thread, but for the reading itself.
 */
final class OwnerWatch {
  private final TableStore table;
  private final long durationMs;
  private final LongSupplier clockMs;
  private final Map<String, LeaseWatch> watches = new HashMap<>();

  OwnerWatch(TableStore table, long durationMs, LongSupplier clockMs) {
    this.table = table;
    this.durationMs = durationMs;
    this.clockMs = clockMs;
  }

  /** Reads a node's lease; the answer goes to {@link #isGone} on the control thread. */
  CompletionStage<Optional<TableStore.Row>> read(String nodeId) {
    return table.read(LeaseService.TABLE, nodeId);
  }

  /**
   * Takes a lease as it was read.
   *
   * @param nodeId the node
   * @param row its lease's row
   * @param sentMs when the read was sent
   * @return whether the node seems to be gone
   */
  boolean isGone(String nodeId, Optional<TableStore.Row> row, long sentMs) {
    if (row.isEmpty() || row.get().value().path("released").asBoolean()) {
      watches.remove(nodeId);
      return true;
    }
    LeaseWatch watch = watches.computeIfAbsent(nodeId, any -> new LeaseWatch(durationMs));
    watch.onSeen(row.get().version(), sentMs, clockMs.getAsLong());
    return watch.isExpired();
  }
}
