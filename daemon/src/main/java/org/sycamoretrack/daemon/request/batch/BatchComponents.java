package org.sycamoretrack.daemon.request.batch;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Supplier;
import org.sycamoretrack.core.connection.SlotLedger;
import org.sycamoretrack.core.connection.SlotPlacement;
import org.sycamoretrack.daemon.farend.EndpointClient;
import org.sycamoretrack.daemon.farend.PartitionedStore;
import org.sycamoretrack.daemon.process.RolloutMetrics;
import org.sycamoretrack.daemon.request.forward.Forwarder;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;

/** What shares the slots of endpoints on one traffic loop: batches and plain requests. */
public final class BatchComponents {
  private final BatchService batches;
  private final Forwarder forwarder;

  private BatchComponents(Builder builder) {
    SlotLedger ledger = new SlotLedger();
    SlotPlacement placement = new SlotPlacement(ledger, builder.zone);
    BatchScheduler scheduler =
        new BatchScheduler(builder.endpoints, builder.views, ledger, placement, builder.loop);
    this.batches =
        new BatchService(
            builder.store,
            scheduler,
            builder.loop,
            builder.nodeId,
            builder.incarnation,
            builder.metrics);
    this.forwarder =
        new Forwarder(
            builder.endpoints, builder.views, ledger, placement, builder.loop, builder.metrics);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns what keeps batches. */
  public BatchService batches() {
    return batches;
  }

  /** Returns what forwards plain requests. */
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
    private RolloutMetrics metrics;

    private Builder() {}

    /** Sets the store, which answers on the loop. */
    public Builder store(PartitionedStore value) {
      this.store = value;
      return this;
    }

    /** Sets what sends to endpoints, and answers on the loop. */
    public Builder endpoints(EndpointClient value) {
      this.endpoints = value;
      return this;
    }

    /** Sets what is known of the deployment. */
    public Builder views(Supplier<DeploymentView> value) {
      this.views = value;
      return this;
    }

    /** Sets the traffic loop. */
    public Builder loop(EventLoop value) {
      this.loop = value;
      return this;
    }

    /** Sets this node. */
    public Builder nodeId(String value) {
      this.nodeId = value;
      return this;
    }

    /** Sets this run of its process. */
    public Builder incarnation(String value) {
      this.incarnation = value;
      return this;
    }

    /** Sets the node's availability zone. */
    public Builder zone(String value) {
      this.zone = value;
      return this;
    }

    /** Sets what counts calls and batches. */
    public Builder metrics(RolloutMetrics value) {
      this.metrics = value;
      return this;
    }

    /** Returns the components. */
    public BatchComponents build() {
      Objects.requireNonNull(store, "store");
      Objects.requireNonNull(endpoints, "endpoints");
      Objects.requireNonNull(views, "views");
      Objects.requireNonNull(loop, "loop");
      Objects.requireNonNull(nodeId, "nodeId");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(zone, "zone");
      Objects.requireNonNull(metrics, "metrics");
      return new BatchComponents(this);
    }
  }
}
