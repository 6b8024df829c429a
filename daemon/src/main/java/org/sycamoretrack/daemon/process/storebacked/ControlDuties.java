package org.sycamoretrack.daemon.process.storebacked;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.sycamoretrack.core.process.ownership.NodeRecord;
import org.sycamoretrack.core.process.ownership.NodeTable;
import org.sycamoretrack.core.request.usage.UsageCounter;
import org.sycamoretrack.core.request.usage.UsageReportQueue;
import org.sycamoretrack.core.request.usage.UsageWindows;
import org.sycamoretrack.daemon.client.DutyClient;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.MeteredDutyClient;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.process.DutyMetrics;
import org.sycamoretrack.daemon.process.StoreBackedNodeMetrics;
import org.sycamoretrack.daemon.process.TrueTime;
import org.sycamoretrack.daemon.request.usage.UsageMeter;
import org.sycamoretrack.daemon.request.usage.UsageReporter;
import org.sycamoretrack.daemon.request.usage.UsageStore;
import org.sycamoretrack.daemon.request.usage.UsageWriter;
import org.sycamoretrack.daemon.version.duty.Duty;
import org.sycamoretrack.daemon.version.duty.DutyLease;

/**
 * The duties of a node whose deployment has a control service: their leases, and the counting and
 * reporting of usage. Other nodes don't have an instance, and make none of its store calls.
 *
 * <p>Confined to the control loop; the {@link #meter} is confined to the traffic loop.
 */
final class ControlDuties {
  private static final long TICK_MS = 200;
  private static final long WALL_CLOCK_INTERVAL_MS = 1_000;

  /** Number of nodes that compete for a lease, enough to survive the loss of one zone. */
  private static final int CANDIDATES = 3;

  private final ControlServiceSettings settings;
  private final EventLoop controlLoop;
  private final EventLoop trafficLoop;
  private final TrueTime time;
  private final DutyClient client;
  private final UsageWindows windows;
  private final UsageCounter counter;
  private final UsageMeter meter;
  private final UsageWriter writer;
  private final UsageReporter reporter;
  private final Map<Duty, DutyLease> leases = new EnumMap<>(Duty.class);

  /**
   * Creates the duties, which do nothing until {@link #start}.
   *
   * @param settings the settings of the control service
   * @param client the client of the control service, which completes its stages on the control loop
   * @param store the store, which completes calls on the control loop
   * @param registry knows the live nodes
   * @param self this node
   * @param time the true time
   * @param controlLoop the control loop
   * @param trafficLoop the traffic loop
   * @param metrics the metrics of the node
   * @param ordersHeld returns whether this node holds the lease for load commands
   */
  ControlDuties(
      ControlServiceSettings settings,
      DutyClient client,
      PartitionedStore store,
      NodeRegistry registry,
      NodeRecord self,
      TrueTime time,
      EventLoop controlLoop,
      EventLoop trafficLoop,
      StoreBackedNodeMetrics metrics,
      BooleanSupplier ordersHeld) {
    this.settings = settings;
    this.controlLoop = controlLoop;
    this.trafficLoop = trafficLoop;
    this.time = time;
    String holder = self.nodeId() + '@' + self.peerAddress();
    for (Duty duty : settings.duties()) {
      leases.put(duty, new DutyLease(duty, store, controlLoop, holder, self.incarnation()));
    }
    this.windows = new UsageWindows(settings.usageWindowMs());
    this.counter = new UsageCounter(windows);
    DutyMetrics dutyMetrics = metrics.addDuties(heldGauges(ordersHeld), this::usageLagMs);
    this.client = new MeteredDutyClient(client, dutyMetrics);
    if (leases.containsKey(Duty.USAGE)) {
      this.meter = new UsageMeter(counter, time::nowMs);
      this.writer =
          new UsageWriter(
              store,
              controlLoop,
              windows,
              self.nodeId(),
              self.incarnation(),
              () -> registry.liveNodes().size(),
              time::nowMs);
      this.reporter =
          new UsageReporter(
              new UsageStore(store, controlLoop, windows),
              leases.get(Duty.USAGE),
              this.client,
              self.nodeId(),
              windows,
              settings.usageDeadlineMs(),
              time::nowMs,
              dutyMetrics::onUsageReported);
    } else {
      this.meter = UsageMeter.off();
      this.writer = null;
      this.reporter = null;
    }
  }

  private Map<String, DoubleSupplier> heldGauges(BooleanSupplier ordersHeld) {
    Map<String, DoubleSupplier> held = new TreeMap<>();
    held.put(Duty.ORDERS.id(), () -> ordersHeld.getAsBoolean() ? 1 : 0);
    leases.forEach((duty, lease) -> held.put(duty.id(), () -> lease.epoch() > 0 ? 1 : 0));
    return held;
  }

  private double usageLagMs() {
    return reporter == null ? 0 : reporter.lagMs();
  }

  /** Returns the client of the control service. */
  DutyClient client() {
    return client;
  }

  /** Returns the lease of a duty, if the settings list it. */
  Optional<DutyLease> lease(Duty duty) {
    return Optional.ofNullable(leases.get(duty));
  }

  /** Returns the meter of plain requests, which counts nothing if usage isn't reported. */
  UsageMeter meter() {
    return meter;
  }

  /** Starts to acquire leases, to count and to report. */
  void start() {
    leases.values().forEach(DutyLease::start);
    scheduleRepeatedly("true-time", time::readWallClock, WALL_CLOCK_INTERVAL_MS);
    if (reporter != null) {
      scheduleRepeatedly("usage", this::tick, TICK_MS);
    }
  }

  private void scheduleRepeatedly(String name, Runnable task, long intervalMs) {
    controlLoop.scheduleAtFixedRate(
        Failures.periodicTask(name, task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    trafficLoop.execute(
        () -> {
          SortedMap<Long, Map<String, Long>> changes = takeChanges();
          if (!changes.isEmpty()) {
            controlLoop.execute(() -> writer.onCounts(changes));
          }
        });
    writer.tick();
    reporter.tick();
  }

  private SortedMap<Long, Map<String, Long>> takeChanges() {
    return counter.takeChanges(UsageReportQueue.oldestWindow(windows, time.nowMs()));
  }

  /**
   * Sets whether this node tries to acquire leases. Only the nodes of the lowest ranks for a duty
   * do, so that the duties of a deployment are usually held by different hosts.
   *
   * @param available whether this node is registered and not stopping
   * @param nodes the nodes
   * @param nodeId the id of this node
   */
  void setCandidate(boolean available, NodeTable nodes, String nodeId) {
    leases.forEach(
        (duty, lease) ->
            lease.setCandidate(available && nodes.takeoverRank(nodeId, duty.id()) < CANDIDATES));
  }

  /** Releases the leases. */
  void release() {
    leases.values().forEach(DutyLease::release);
  }

  /**
   * Writes the counts that aren't in the store yet. Called at the end of a planned stop, on any
   * thread.
   *
   * @return completes when the writes have ended
   */
  CompletionStage<Void> flush() {
    if (writer == null) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.supplyAsync(this::takeChanges, trafficLoop)
        .thenAcceptAsync(writer::onCounts, controlLoop)
        .thenCompose(done -> writer.flush());
  }

  /** Adds the state of the duties to the state dump. */
  void describe(ObjectNode json) {
    ObjectNode held = json.putObject("duties");
    leases.forEach(
        (duty, lease) ->
            held.putObject(duty.id())
                .put("held", lease.isHeld())
                .put("mayCall", lease.mayCall())
                .put("epoch", lease.epoch()));
    ObjectNode clock = json.putObject("time");
    clock
        .put("source", time.isStoreTimeKnown() ? "store" : "host")
        .put("hostAheadMs", System.currentTimeMillis() - time.nowMs());
    if (reporter != null) {
      ObjectNode usage = json.putObject("usage");
      usage
          .put("window", windows.at(time.nowMs()))
          .put("unwrittenWindows", writer.unwrittenCount());
      reporter.describe(usage);
    }
    json.put("controlService", settings.address().toString());
  }
}
