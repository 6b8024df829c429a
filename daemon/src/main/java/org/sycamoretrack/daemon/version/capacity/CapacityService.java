package org.sycamoretrack.daemon.version.capacity;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sycamoretrack.core.version.capacity.CapacityInput;
import org.sycamoretrack.core.version.capacity.CapacityInput.PoolCount;
import org.sycamoretrack.core.version.capacity.CapacityPlanner;
import org.sycamoretrack.core.version.capacity.CapacityPool;
import org.sycamoretrack.core.version.capacity.CapacityRecord;
import org.sycamoretrack.core.version.capacity.EndpointKind;
import org.sycamoretrack.core.version.capacity.ServiceDemand;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.routing.RoutedService;
import org.sycamoretrack.core.version.routing.ScalingTerms;
import org.sycamoretrack.daemon.client.CapacityOrder;
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.DutyGrant;
import org.sycamoretrack.daemon.client.DutyOutcome;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;
import org.sycamoretrack.daemon.version.deployment.DeploymentView;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;
import org.sycamoretrack.transport.process.Json;

/**
 * Orders endpoints while this node holds the lease of the duty {@link Duty#CAPACITY}.
 *
 * <p>Once a second, {@link CapacityPlanner} decides for each service. The resulting record is
 * stored, on the condition that it is unchanged since it was read, before its orders are sent;
 * their outcomes are stored afterwards. A holder that dies in between leaves unconfirmed orders,
 * which the next holder repeats with the same numbers. After an order was rejected for lack of
 * endpoints, the planner runs again at once.
 *
 * <p>Confined to the control loop, except for {@link #targets}.
 */
public final class CapacityService {
  private static final long TICK_MS = 1_000;

  /** Exceeds the sum of the timeouts of the store and of a peer that forwards the call. */
  private static final long CALL_TIMEOUT_MS = 3_000;

  private static final System.Logger LOG = System.getLogger(CapacityService.class.getName());

  private final PartitionedStore store;
  private final DutyClient control;
  private final Supplier<DeploymentView> views;
  private final LongSupplier endpointsAgeMs;
  private final DemandTable demand;
  private final EventLoop loop;
  private final String nodeId;
  private final DutyLease lease;
  private final Map<String, ServiceCapacity> services = new TreeMap<>();
  private volatile Map<String, CapacityRecord> published = Map.of();
  private Consumer<DutyOutcome> onOutcome = outcome -> {};
  private boolean loaded;
  private boolean loading;
  private long plannedEpoch;

  /**
   * Creates an instance that does nothing until {@link #start}.
   *
   * @param store the store, which completes calls on the loop
   * @param control the client of the control service, which completes calls on the loop
   * @param lease the lease of the duty, which is acquired elsewhere
   * @param views returns this node's current view of the deployment
   * @param endpointsAgeMs returns the age of the endpoints in the view, in milliseconds
   * @param demand the demand of all nodes
   * @param loop the control loop
   * @param nodeId the id of this node
   */
  public CapacityService(
      PartitionedStore store,
      DutyClient control,
      DutyLease lease,
      Supplier<DeploymentView> views,
      LongSupplier endpointsAgeMs,
      DemandTable demand,
      EventLoop loop,
      String nodeId) {
    this.store = store;
    this.control = control;
    this.lease = lease;
    this.views = views;
    this.endpointsAgeMs = endpointsAgeMs;
    this.demand = demand;
    this.loop = loop;
    this.nodeId = nodeId;
  }

  /**
   * Sets the listener of the outcomes of orders. To be called before the start.
   *
   * @param listener called on the loop
   */
  public void onOutcome(Consumer<DutyOutcome> listener) {
    onOutcome = listener;
  }

  /** Starts to plan at an interval while the lease is held. */
  public void start() {
    Runnable task = Failures.periodicTask("capacity", this::tick);
    loop.scheduleAtFixedRate(task, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns the records by service; empty when this node does not hold the lease. Thread-safe. */
  public Map<String, CapacityRecord> targets() {
    return published;
  }

  private void tick() {
    if (!lease.isHeld()) {
      forget();
      return;
    }
    if (plannedEpoch != lease.epoch()) {
      plannedEpoch = lease.epoch();
      forget();
    }
    demand.poll();
    if (!loaded) {
      load();
      return;
    }
    DeploymentView view = views.get();
    if (lease.mayCall() && view.manifest().isPresent()) {
      for (RoutedService service : view.manifest().orElseThrow().services().values()) {
        if (service.scaling().isPresent()) {
          services.computeIfAbsent(service.name(), this::serviceCapacity).plan();
        }
      }
    }
    publish();
  }

  private ServiceCapacity serviceCapacity(String name) {
    return new ServiceCapacity(name, this, lease);
  }

  /** Forgets all records, so that they are read again before the next order. */
  void forget() {
    loaded = false;
    services.values().forEach(ServiceCapacity::close);
    services.clear();
    published = Map.of();
  }

  void publish() {
    Map<String, CapacityRecord> records = new TreeMap<>();
    services.forEach((name, service) -> records.put(name, service.record()));
    published = records;
  }

  private void load() {
    if (loading) {
      return;
    }
    loading = true;
    long epoch = plannedEpoch;
    Failures.withTimeout(
            store.scanAll(ControlTables.CONTROL, Duty.CAPACITY.id()), loop, CALL_TIMEOUT_MS)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  loading = false;
                  if (failure != null) {
                    LOG.log(
                        System.Logger.Level.WARNING,
                        LogEvent.of("capacity-not-read")
                            .with("epoch", epoch)
                            .with("reason", Failures.unwrap(failure).getMessage()));
                  } else if (epoch == lease.epoch()) {
                    page.rows().forEach(this::load);
                    loaded = true;
                  }
                }));
  }

  private void load(Row row) {
    CapacityRows.service(row)
        .ifPresent(
            name -> {
              ServiceCapacity service = serviceCapacity(name);
              services.put(name, service);
              try {
                service.load(row);
              } catch (IllegalArgumentException e) {
                // The service is observed anew, and the next write replaces the row.
                LOG.log(
                    System.Logger.Level.WARNING,
                    LogEvent.of("row-unreadable")
                        .with("table", row.table())
                        .with("key", row.key())
                        .with("reason", e.getMessage()));
              }
            });
  }

  /** Writes to the partition of the duty. */
  CompletionStage<WriteResult> commit(PartitionWrite write) {
    return Failures.withTimeout(store.commit(write), loop, CALL_TIMEOUT_MS);
  }

  /** Sends an order. The outcome is delivered on the loop. */
  CompletionStage<DutyOutcome> send(CapacityOrder order) {
    CompletableFuture<DutyOutcome> result = new CompletableFuture<>();
    control
        .orderCapacity(new DutyGrant(nodeId, lease.epoch()), order)
        .whenCompleteAsync(
            Failures.loggingExceptions(
                (outcome, failure) -> {
                  DutyOutcome known =
                      failure == null ? outcome : new DutyOutcome.Unknown(failure.toString());
                  onOutcome.accept(known);
                  result.complete(known);
                }),
            loop);
    return result;
  }

  /** Returns what is known of a service that has scaling terms; empty if it has none any more. */
  Optional<CapacityInput> input(String name) {
    DeploymentView view = views.get();
    return view.manifest()
        .map(manifest -> manifest.services().get(name))
        .flatMap(RoutedService::scaling)
        .map(terms -> input(name, terms, view));
  }

  private CapacityInput input(String name, ScalingTerms terms, DeploymentView view) {
    Map<CapacityPool, PoolCount> pools = new HashMap<>();
    int slots = 0;
    int count = 0;
    for (Endpoint endpoint : view.fleet().all()) {
      if (endpoint.service().equals(name)) {
        EndpointKind kind = endpoint.spot() ? EndpointKind.SPOT : EndpointKind.ON_DEMAND;
        pools.merge(
            new CapacityPool(endpoint.zone(), kind), PoolCount.of(endpoint), PoolCount::plus);
        slots += endpoint.slots();
        count++;
      }
    }
    ServiceDemand total = demand.demand(name);
    double slotsPerEndpoint = count == 0 ? 0 : (double) slots / count;
    return new CapacityInput(
        terms,
        pools,
        endpointsAgeMs.getAsLong(),
        total.work(),
        total.tokensPerSlotSecond() * slotsPerEndpoint,
        demand.ageMs());
  }

  /** Returns the ordered targets for the state dump. Called on the control loop. */
  public ObjectNode dump() {
    ObjectNode json =
        Json.object()
            .put("held", lease.isHeld())
            .put("epoch", lease.epoch())
            .put("endpointsAgeMs", endpointsAgeMs.getAsLong())
            .put("demandAgeMs", demand.ageMs());
    ObjectNode records = json.putObject("services");
    published.forEach((name, record) -> records.set(name, CapacityRows.toJson(record)));
    return json;
  }
}
