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
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.version.capacity.CapacityService;
import org.sycamoretrack.daemon.version.capacity.DemandPublisher;
import org.sycamoretrack.daemon.version.capacity.DemandTable;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.DeploymentWatch;
import org.sycamoretrack.daemon.version.duty.Duty;
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
   * @param control the client of the control service; empty where the deployment has none
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
      Optional<DutyClient> control,
      DeploymentWatch watch,
      NodeRegistry registry,
      EventLoop loop,
      Supplier<CompletionStage<Map<String, ServiceDemand>>> meter,
      StoreBackedNodeMetrics metrics) {
    boolean isDuty =
        settings
            .controlService()
            .map(service -> service.duties().contains(Duty.CAPACITY))
            .orElse(false);
    DemandTable demand = new DemandTable(store, loop, registry.nodeTable()::isServing);
    this.publisher =
        isDuty || settings.shareByDemand()
            ? Optional.of(
                new DemandPublisher(
                    store, loop, self.nodeId(), self.incarnation(), meter, () -> ownerCount(watch)))
            : Optional.empty();
    this.service =
        control
            .filter(unused -> isDuty)
            .map(
                client ->
                    new CapacityService(
                        store,
                        client,
                        watch::view,
                        watch::endpointsAgeMs,
                        demand,
                        loop,
                        self,
                        outcome -> metrics.onCapacityOrder(outcome.label())));
    this.shareAssigner =
        new ShareAssigner(settings.shareByDemand() ? Optional.of(demand) : Optional.empty());
    metrics.capacityTargets(() -> service.map(CapacityComponents::targets).orElse(Map.of()));
  }

  private static int ownerCount(DeploymentWatch watch) {
    return (int) watch.view().owners().values().stream().map(Owner::nodeId).distinct().count();
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

  /** Sets whether this node tries to acquire the lease of the duty. */
  void setCandidate(boolean candidate) {
    service.ifPresent(present -> present.setCandidate(candidate));
  }

  /** Stops publishing and releases the lease. Called on the control loop. */
  void release() {
    publisher.ifPresent(DemandPublisher::stop);
    service.ifPresent(CapacityService::release);
  }

  /** Returns the ordered targets for the state dump; empty where capacity isn't ordered. */
  Optional<ObjectNode> dump() {
    return service.map(CapacityService::dump);
  }
}
