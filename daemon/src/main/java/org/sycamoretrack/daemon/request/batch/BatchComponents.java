package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.connection.ZoneOverflow;
import org.sycamoretrack.core.connection.ZoneTraffic;
import org.sycamoretrack.core.connection.ZoneWork;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.ZoneMeteredEndpointClient;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.forward.Forwarder;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Creates the batch service and the forwarder of plain requests on one traffic loop. Items, scoring
 * calls and plain requests use the same tracker of endpoint slots.
 */
public final class BatchComponents {
  /** Half of the time for which a zone without reason to send goes on. */
  private static final long OVERFLOW_TICK_MS = 250;

  private static final System.Logger LOG = System.getLogger(BatchComponents.class.getName());

  private final BatchService batches;
  private final Forwarder forwarder;

  private BatchComponents(Builder builder) {
    SlotTracker tracker = new SlotTracker();
    SlotPlacement placement = new SlotPlacement(tracker, builder.zone);
    EndpointClient endpoints = builder.endpoints;
    if (builder.zoneTraffic.isPresent()) {
      ZoneOverflow overflow =
          new ZoneOverflow(
              tracker, builder.zone, builder.zoneTraffic.get(), BatchComponents::logOverflowChange);
      placement = new SlotPlacement(tracker, overflow);
      endpoints = new ZoneMeteredEndpointClient(endpoints, overflow, builder.metrics);
      scheduleOverflowTicks(overflow, builder);
    }
    BatchScheduler scheduler =
        new BatchScheduler(endpoints, builder.views, tracker, placement, builder.loop);
    ScoreScheduler scores =
        new ScoreScheduler(
            endpoints, builder.views, tracker, placement, builder.loop, builder.metrics);
    this.batches =
        new BatchService(
            builder.store,
            scheduler,
            scores,
            builder.loop,
            builder.nodeId,
            builder.incarnation,
            builder.metrics);
    this.forwarder =
        new Forwarder(
            endpoints,
            builder.views,
            tracker,
            placement,
            builder.loop,
            builder.metrics,
            builder.poison);
  }

  private static void scheduleOverflowTicks(ZoneOverflow overflow, Builder builder) {
    Runnable tick =
        () -> overflow.tick(MonotonicClock.nowMs()).forEach(builder.metrics::setZoneOverflowShare);
    builder.loop.scheduleAtFixedRate(
        Failures.periodicTask("zone-overflow", tick),
        OVERFLOW_TICK_MS,
        OVERFLOW_TICK_MS,
        TimeUnit.MILLISECONDS);
  }

  private static void logOverflowChange(
      ZoneWork.Kind kind, String pool, String toZone, long expectedMs) {
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("zone-overflow")
            .with("kind", kind)
            .with("pool", pool)
            .with("toZone", toZone)
            .with("expectedMs", expectedMs));
  }

  public static Builder builder() {
    return new Builder();
  }

  public BatchService batches() {
    return batches;
  }

  public Forwarder forwarder() {
    return forwarder;
  }

  /** Builds {@link BatchComponents}; all values but the terms of traffic are required. */
  public static final class Builder {
    private PartitionedStore store;
    private EndpointClient endpoints;
    private Supplier<DeploymentView> views;
    private EventLoop loop;
    private String nodeId;
    private String incarnation;
    private String zone;
    private StoreBackedNodeMetrics metrics;
    private PoisonGuard poison;
    private Optional<ZoneTraffic> zoneTraffic = Optional.empty();

    private Builder() {}

    /** Sets the store, which completes its futures on the loop. */
    public Builder store(PartitionedStore store) {
      this.store = store;
      return this;
    }

    /** Sets the client of the endpoints, which calls its listeners on the loop. */
    public Builder endpoints(EndpointClient endpoints) {
      this.endpoints = endpoints;
      return this;
    }

    /** Sets the supplier of the current view of the deployment. */
    public Builder views(Supplier<DeploymentView> views) {
      this.views = views;
      return this;
    }

    /** Sets the traffic loop. */
    public Builder loop(EventLoop loop) {
      this.loop = loop;
      return this;
    }

    /** Sets the id of this node. */
    public Builder nodeId(String nodeId) {
      this.nodeId = nodeId;
      return this;
    }

    /** Sets the id of the current run of the node's process. */
    public Builder incarnation(String incarnation) {
      this.incarnation = incarnation;
      return this;
    }

    /** Sets the node's availability zone. */
    public Builder zone(String zone) {
      this.zone = zone;
      return this;
    }

    /** Sets the metrics of calls and batches. */
    public Builder metrics(StoreBackedNodeMetrics metrics) {
      this.metrics = metrics;
      return this;
    }

    /** Sets the guard that tells which plain requests crash endpoints. */
    public Builder poison(PoisonGuard poison) {
      this.poison = poison;
      return this;
    }

    /** Sets the terms of traffic between availability zones; empty, the default, for none. */
    public Builder zoneTraffic(Optional<ZoneTraffic> zoneTraffic) {
      this.zoneTraffic = zoneTraffic;
      return this;
    }

    /** Creates the components. */
    public BatchComponents build() {
      Objects.requireNonNull(store, "store");
      Objects.requireNonNull(endpoints, "endpoints");
      Objects.requireNonNull(views, "views");
      Objects.requireNonNull(loop, "loop");
      Objects.requireNonNull(nodeId, "nodeId");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(zone, "zone");
      Objects.requireNonNull(metrics, "metrics");
      Objects.requireNonNull(poison, "poison");
      return new BatchComponents(this);
    }
  }
}
