package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.request.PoisonGuard;
import org.sycamoretrack.daemon.request.forward.Forwarder;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/**
 * Creates the batch service and the forwarder of plain requests on one traffic loop. Items, scoring
 * calls and plain requests use the same tracker of endpoint slots.
 */
public final class BatchComponents {
  private final BatchService batches;
  private final Forwarder forwarder;

  private BatchComponents(Builder builder) {
    SlotTracker tracker = new SlotTracker();
    SlotPlacement placement = new SlotPlacement(tracker, builder.zone);
    BatchScheduler scheduler =
        new BatchScheduler(builder.endpoints, builder.views, tracker, placement, builder.loop);
    ScoreScheduler scores =
        new ScoreScheduler(
            builder.endpoints, builder.views, tracker, placement, builder.loop, builder.metrics);
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
            builder.endpoints,
            builder.views,
            tracker,
            placement,
            builder.loop,
            builder.metrics,
            builder.poison);
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

  /** Builds {@link BatchComponents}; all values are required. */
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
