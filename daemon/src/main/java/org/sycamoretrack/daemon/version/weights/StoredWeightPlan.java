package org.sycamoretrack.daemon.version.weights;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;

/**
 * The {@link WeightPlan} in the store, as the holder of the lease reads and writes it.
 *
 * <p>A write is conditional on the version that was read or written last. After a write without
 * success the plan counts as not loaded and has to be read again.
 *
 * <p>Confined to the control loop.
 */
final class StoredWeightPlan {
  private static final System.Logger LOG = System.getLogger(StoredWeightPlan.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final long callTimeoutMs;
  private WeightPlan plan = WeightPlan.EMPTY;
  private long rowVersion = PartitionWrite.ABSENT;
  private boolean loaded;
  private boolean callPending;

  /**
   * Creates a plan that isn't loaded.
   *
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param callTimeoutMs the timeout of a call, in milliseconds
   */
  StoredWeightPlan(PartitionedStore store, EventLoop loop, long callTimeoutMs) {
    this.store = store;
    this.loop = loop;
    this.callTimeoutMs = callTimeoutMs;
  }

  /** Returns the plan as it was last read or written. */
  WeightPlan plan() {
    return plan;
  }

  boolean isLoaded() {
    return loaded;
  }

  /** Requires the plan to be read before it is used. */
  void unload() {
    loaded = false;
  }

  /**
   * Reads the plan, unless a call is pending.
   *
   * @param epoch the epoch of the lease, for the log
   * @param onRead runs when the plan was read
   */
  void read(long epoch, Runnable onRead) {
    if (callPending) {
      return;
    }
    callPending = true;
    Failures.withTimeout(
            store.scan(ControlTables.CONTROL, ControlTables.ORDERS, ControlTables.WEIGHTS, 1),
            loop,
            callTimeoutMs)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  callPending = false;
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("weight-plan-not-read")
                            .with("epoch", epoch)
                            .with("reason", Failures.unwrap(failure).getMessage()));
                    return;
                  }
                  plan = WeightPlan.EMPTY;
                  rowVersion = PartitionWrite.ABSENT;
                  for (Row row : page.rows()) {
                    if (row.key().equals(ControlTables.WEIGHTS)) {
                      plan = ControlTables.decodePlan(row);
                      rowVersion = row.version();
                    }
                  }
                  onRead.run();
                  loaded = true;
                }));
  }

  /**
   * Writes the plan, unless it is unchanged or a call is pending.
   *
   * @param newPlan the plan
   * @param epoch the epoch of the lease, for the log
   * @param onWritten runs when the plan was written, and at once if nothing is written
   */
  void write(WeightPlan newPlan, long epoch, Runnable onWritten) {
    if (callPending || newPlan.equals(plan)) {
      onWritten.run();
      return;
    }
    callPending = true;
    PartitionWrite write =
        PartitionWrite.in(ControlTables.ORDERS)
            .expect(ControlTables.CONTROL, ControlTables.WEIGHTS, rowVersion)
            .put(ControlTables.CONTROL, ControlTables.WEIGHTS, ControlTables.encode(newPlan))
            .build();
    Failures.withTimeout(store.commit(write), loop, callTimeoutMs)
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  callPending = false;
                  if (failure == null && result instanceof WriteResult.Committed committed) {
                    logShares(newPlan, epoch);
                    plan = newPlan;
                    rowVersion = committed.version();
                    onWritten.run();
                  } else {
                    loaded = false;
                  }
                }));
  }

  private void logShares(WeightPlan newPlan, long epoch) {
    if (!newPlan.shares().equals(plan.shares())) {
      Map<String, Integer> sizes = new TreeMap<>();
      newPlan.shares().forEach((model, ids) -> sizes.put(model, ids.size()));
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of("endpoint-shares").with("sizes", sizes).with("epoch", epoch));
    }
  }
}
