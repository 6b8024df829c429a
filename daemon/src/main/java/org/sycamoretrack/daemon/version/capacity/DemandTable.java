package org.sycamoretrack.daemon.version.capacity;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Page;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.capacity.DemandRows.NodeDemand;

/**
 * The demand of all nodes, which the holder of a duty polls once a second.
 *
 * <p>The rows state deadlines relative to the time of their writes. The table measures the time
 * since it first saw the version of a row, so that clocks of nodes aren't compared. Rows of
 * processes that aren't serving are ignored, and removed after {@value #MAX_ORPHAN_AGE_MS} ms.
 *
 * <p>Confined to the control loop.
 */
public final class DemandTable {
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final long READ_TIMEOUT_MS = 2_500;

  /** Far more than a node needs to be recognised as live after its start. */
  private static final long MAX_ORPHAN_AGE_MS = 60_000;

  private static final System.Logger LOG = System.getLogger(DemandTable.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final BiPredicate<String, String> isServing;
  private Map<String, Seen> rows = new HashMap<>();
  private long pollAtMs;
  private long confirmedAtMs = Long.MIN_VALUE;
  private boolean reading;

  private record Seen(long version, long seenAtMs, NodeDemand demand) {}

  /**
   * Creates a table that is empty until the first read.
   *
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param isServing returns whether an incarnation of a node, both by id, is alive
   */
  public DemandTable(
      PartitionedStore store, EventLoop loop, BiPredicate<String, String> isServing) {
    this.store = store;
    this.loop = loop;
    this.isServing = isServing;
  }

  /** Reads the table if the last read is long enough ago. Called repeatedly by a holder. */
  public void poll() {
    long nowMs = MonotonicClock.nowMs();
    if (reading || nowMs < pollAtMs) {
      return;
    }
    reading = true;
    pollAtMs = nowMs + POLL_INTERVAL_MS;
    Failures.withTimeout(
            store.scanAll(DemandRows.TABLE, DemandRows.PARTITION), loop, READ_TIMEOUT_MS)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  reading = false;
                  if (failure == null) {
                    onRead(page, nowMs);
                  }
                }));
  }

  private void onRead(Page page, long sentAtMs) {
    confirmedAtMs = sentAtMs;
    Map<String, Seen> current = new HashMap<>();
    for (Row row : page.rows()) {
      Seen seen = rows.get(row.key());
      if (seen == null || seen.version != row.version()) {
        try {
          seen = new Seen(row.version(), sentAtMs, DemandRows.decode(row));
        } catch (IllegalArgumentException e) {
          LOG.log(
              System.Logger.Level.WARNING,
              LogEvent.of("row-unreadable")
                  .with("table", row.table())
                  .with("key", row.key())
                  .with("reason", e.getMessage()));
          continue;
        }
      }
      current.put(row.key(), seen);
      removeOrphan(row.key(), seen, sentAtMs);
    }
    rows = current;
  }

  private void removeOrphan(String nodeId, Seen seen, long nowMs) {
    if (nowMs - seen.seenAtMs >= MAX_ORPHAN_AGE_MS
        && !isServing.test(nodeId, seen.demand.incarnation())) {
      store
          .commit(
              PartitionWrite.in(DemandRows.PARTITION)
                  .expect(DemandRows.TABLE, nodeId, seen.version)
                  .remove(DemandRows.TABLE, nodeId)
                  .build())
          .whenComplete(
              Failures.loggingExceptions(
                  (result, failure) -> {
                    // A row that is still there is removed after a later read.
                  }));
    }
  }

  /**
   * Returns the time in milliseconds since the demand was last known to be up to date; {@link
   * Long#MAX_VALUE} before the first read.
   */
  public long ageMs() {
    return confirmedAtMs == Long.MIN_VALUE
        ? Long.MAX_VALUE
        : MonotonicClock.nowMs() - confirmedAtMs;
  }

  /**
   * Returns the demand of all live nodes on a service.
   *
   * @param service the name of the service
   */
  public ServiceDemand demand(String service) {
    long nowMs = MonotonicClock.nowMs();
    return ServiceDemand.sum(
        rows.entrySet().stream()
            .filter(row -> isServing.test(row.getKey(), row.getValue().demand.incarnation()))
            .filter(row -> row.getValue().demand.services().containsKey(service))
            .map(
                row ->
                    row.getValue()
                        .demand
                        .services()
                        .get(service)
                        .after(nowMs - row.getValue().seenAtMs))
            .toList());
  }
}
