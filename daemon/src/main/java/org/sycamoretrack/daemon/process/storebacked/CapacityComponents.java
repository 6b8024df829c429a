package org.sycamoretrack.daemon.process.storebacked;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.CapacityMetrics;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.version.capacity.CapacityService;
import org.sycamoretrack.daemon.version.capacity.DemandPublisher;
import org.sycamoretrack.daemon.version.capacity.DemandTable;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;
import org.sycamoretrack.daemon.version.weights.ShareAssigner;

/**
 * The parts of a node that deal with demand and capacity, as far as its settings enable them.
 *
 * <p>Demand is published and read where capacity is ordered or shares follow the demand. Without
 * either, no row of the table {@code demand} is written or read.
 */
final class CapacityComponents {
  private final Optional<DemandPublisher> publisher;
  private final Optional<CapacityService> service;
  private final ShareAssigner shareAssigner;

  /**
   * Creates the parts.
   *
   * @param settings the settings of the node
   * @param self this node
   * @param store the store, which completes calls on the loop
   * @param duties the leases of duties; empty where the deployment has no control service
   * @param watch the view of the deployment
   * @param registry the live nodes
   * @param loop the control loop
   * @param meter measures the demand of this node's batches by service
   * @param metrics counts orders
   */
  CapacityComponents(
      StoreBackedNodeSettings settings,
      NodeRecord self,
      PartitionedStore store,
      Optional<ControlDuties> duties,
      DeploymentWatch watch,
      NodeRegistry registry,
      EventLoop loop,
      Supplier<CompletionStage<Map<String, ServiceDemand>>> meter,
      StoreBackedNodeMetrics metrics) {
    Optional<DutyLease> lease = duties.flatMap(present -> present.lease(Duty.CAPACITY));
    DemandTable demand = new DemandTable(store, loop, registry.nodeTable()::isServing);
    this.publisher =
        lease.isPresent() || settings.shareByDemand()
            ? Optional.of(
                new DemandPublisher(
                    store, loop, self.nodeId(), self.incarnation(), meter, () -> ownerCount(watch)))
            : Optional.empty();
    this.service =
        lease.map(
            held ->
                new CapacityService(
                    store,
                    duties.orElseThrow().client(),
                    held,
                    watch::view,
                    watch::endpointsAgeMs,
                    demand,
                    loop,
                    self.nodeId()));
    this.shareAssigner =
        new ShareAssigner(settings.shareByDemand() ? Optional.of(demand) : Optional.empty());
    service.ifPresent(
        present -> {
          CapacityMetrics counts = metrics.addCapacity(() -> targets(present));
          present.onOutcome(outcome -> counts.onOrder(outcome.label()));
        });
  }

  private static int ownerCount(DeploymentWatch watch) {
    return (int)
        watch.view().owners().byBatchId().values().stream().map(Owner::nodeId).distinct().count();
  }

  private static Map<List<String>, Double> targets(CapacityService service) {
    Map<List<String>, Double> values = new HashMap<>();
    service
        .targets()
        .forEach(
            (name, record) ->
                record
                    .pools()
                    .forEach(
                        (pool, state) ->
                            values.put(
                                List.of(
                                    name, pool.zone(), pool.kind().name().toLowerCase(Locale.ROOT)),
                                (double) state.target())));
    return values;
  }

  /** Returns what assigns endpoints to models. */
  ShareAssigner shareAssigner() {
    return shareAssigner;
  }

  /** Starts the parts that are enabled. */
  void start() {
    publisher.ifPresent(DemandPublisher::start);
    service.ifPresent(CapacityService::start);
  }

  /** Stops publishing. Called on the control loop. */
  void stop() {
    publisher.ifPresent(DemandPublisher::stop);
  }

  /** Returns the ordered targets for the state dump; empty where capacity isn't ordered. */
  Optional<ObjectNode> dump() {
    return service.map(CapacityService::dump);
  }
}
