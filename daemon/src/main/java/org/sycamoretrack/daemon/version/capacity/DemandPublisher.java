package org.sycamoretrack.daemon.version.capacity;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.capacity.DemandRows.NodeDemand;

/**
 * Publishes the demand of this node's open batches in its row of the table {@code demand}.
 *
 * <p>The row is written when the demand has changed by a tenth, and removed when there has been
 * none over the last steps. A write that fails is repeated at the next interval. Exists only where
 * capacity is ordered or shares follow the demand.
 *
 * <p>Confined to the control loop.
 */
public final class DemandPublisher {
  private static final long MIN_INTERVAL_MS = 1_000;

  /**
   * Bounds the writes of all nodes to 100 a second. The store executes 200 transactions a second in
   * one partition, and the heartbeats of the nodes use up to 100.
   */
  private static final long INTERVAL_MS_PER_OWNER = 10;

  private static final long TICK_MS = 250;
  private static final long CALL_TIMEOUT_MS = 3_000;
  private static final System.Logger LOG = System.getLogger(DemandPublisher.class.getName());

  private final PartitionedStore store;
  private final EventLoop loop;
  private final String nodeId;
  private final String incarnation;
  private final Supplier<CompletionStage<Map<String, ServiceDemand>>> meter;
  private final IntSupplier owners;
  private Map<String, ServiceDemand> written = Map.of();
  private long nextMs;
  private boolean pending;
  private boolean stopped;

  /**
   * Creates a publisher.
   *
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param nodeId the id of this node
   * @param incarnation identifies the run of its process
   * @param meter measures the demand of this node by service; completes on any thread
   * @param owners returns the number of nodes that own batches
   */
  public DemandPublisher(
      PartitionedStore store,
      EventLoop loop,
      String nodeId,
      String incarnation,
      Supplier<CompletionStage<Map<String, ServiceDemand>>> meter,
      IntSupplier owners) {
    this.store = store;
    this.loop = loop;
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.meter = meter;
    this.owners = owners;
  }

  /** Starts to publish. */
  public void start() {
    Runnable task = Failures.periodicTask("demand", this::tick);
    loop.scheduleAtFixedRate(task, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops publishing. Other nodes ignore the row once this node is no longer serving. */
  public void stop() {
    stopped = true;
  }

  private void tick() {
    long nowMs = MonotonicClock.nowMs();
    if (stopped || pending || nowMs < nextMs) {
      return;
    }
    nextMs = nowMs + Math.max(MIN_INTERVAL_MS, INTERVAL_MS_PER_OWNER * owners.getAsInt());
    pending = true;
    Failures.withTimeout(meter.get(), loop, CALL_TIMEOUT_MS)
        .whenCompleteAsync(
            Failures.loggingExceptions(
                (demand, failure) -> {
                  pending = false;
                  if (failure == null && hasChanged(demand)) {
                    write(demand);
                  }
                }),
            loop);
  }

  private boolean hasChanged(Map<String, ServiceDemand> demand) {
    return !demand.keySet().equals(written.keySet())
        || demand.entrySet().stream()
            .anyMatch(each -> each.getValue().differsFrom(written.get(each.getKey())));
  }

  private void write(Map<String, ServiceDemand> demand) {
    pending = true;
    PartitionWrite.Builder write = PartitionWrite.in(DemandRows.PARTITION);
    if (demand.isEmpty()) {
      write.remove(DemandRows.TABLE, nodeId);
    } else {
      byte[] value = DemandRows.encode(new NodeDemand(incarnation, demand));
      write.put(DemandRows.TABLE, nodeId, value);
    }
    Failures.withTimeout(store.commit(write.build()), loop, CALL_TIMEOUT_MS)
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  pending = false;
                  if (failure == null) {
                    written = demand;
                  } else {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("demand-not-written")
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  }
                }));
  }
}
