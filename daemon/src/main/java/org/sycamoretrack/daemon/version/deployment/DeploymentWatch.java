package org.sycamoretrack.daemon.version.deployment;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.LongPollWait;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.core.version.fleet.EndpointList;
import org.sycamoretrack.core.version.fleet.Fleet;
import org.sycamoretrack.core.version.fleet.LeavingEndpoints;
import org.sycamoretrack.core.version.routing.Manifest;
import org.sycamoretrack.daemon.client.DeploymentCodec;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables.EndpointReports;
import org.sycamoretrack.daemon.version.deployment.ControlTables.Owner;
import org.sycamoretrack.daemon.version.deployment.ControlTables.WeightPlan;

/**
 * Watches the operator, endpoint and control tables and publishes their contents as a {@link
 * DeploymentView}.
 *
 * <p>Invariants: the version of the manifest and of each model never decreases within a process. An
 * endpoint that is missing right after an outage of the store stays listed for {@value
 * #RENEWAL_GRACE_MS} ms if its entry may have expired while the endpoint could not renew it ({@link
 * EndpointList}), and longer if the store is unavailable again by then. An endpoint that said that
 * it is leaving counts as draining, whatever its row says ({@link LeavingEndpoints}).
 *
 * <p>Confined to the control loop, except for {@link #view} and {@link #manifestAgeMs}, which may
 * be called from any thread.
 */
public final class DeploymentWatch {
  /**
   * Endpoints whose entries expired during an outage of the store renew them within 2 s of its end.
   */
  private static final long RENEWAL_GRACE_MS = 2_000;

  private static final long CONFIRMATION_CHECK_MS = 100;

  private static final System.Logger LOG = System.getLogger(DeploymentWatch.class.getName());

  private final DeploymentCodec codec;
  private final EventLoop loop;
  private final TableWatch operators;
  private final TableWatch endpoints;
  private final TableWatch control;
  private final Runnable onChange;
  private Consumer<EndpointReports> onReports = reports -> {};
  private final LeavingEndpoints leaving = new LeavingEndpoints();
  private final EndpointList listed = new EndpointList();
  private final Map<String, Integer> announcedVersions = new HashMap<>();
  private final Map<String, Owner> owners = new HashMap<>();
  private Manifest manifest;
  private WeightPlan weights = WeightPlan.EMPTY;
  private volatile boolean endpointsRead;
  private volatile boolean controlRead;
  private volatile DeploymentView view = DeploymentView.EMPTY;

  /**
   * Creates a watch.
   *
   * @param store the store, which completes calls on the loop
   * @param codec decodes the rows that other components write
   * @param loop the control loop
   * @param onChange called on the loop after each change
   */
  public DeploymentWatch(
      PartitionedStore store, DeploymentCodec codec, EventLoop loop, Runnable onChange) {
    this.codec = codec;
    this.loop = loop;
    this.onChange = onChange;
    this.operators =
        new TableWatch(store, codec.operatorTable(), false, loop, new OperatorTableListener());
    this.endpoints =
        new TableWatch(store, codec.endpointTable(), false, loop, new EndpointTableListener());
    this.control =
        new TableWatch(store, ControlTables.CONTROL, true, loop, new ControlTableListener());
  }

  /**
   * Sets how many nodes watch the store, which determines how long the store holds each poll.
   * Called on the loop.
   *
   * @param nodes the number of nodes, including this one
   * @param drainMs the time in milliseconds after which a draining endpoint must get no more work
   */
  public void setNodeCount(int nodes, long drainMs) {
    List<TableWatch> watches = List.of(operators, endpoints, control);
    long waitMs = LongPollWait.waitMs(nodes, watches.size(), drainMs);
    watches.forEach(watch -> watch.setWaitMs(waitMs));
  }

  /**
   * Sets the listener of reports about endpoints. To be called before the start.
   *
   * @param listener called on the loop with the reports of a node, this one included
   */
  public void onReports(Consumer<EndpointReports> listener) {
    onReports = listener;
  }

  /**
   * Takes an endpoint out of service because it has said that it is leaving. It stays so until
   * another instance is listed under its id. Called on the loop.
   *
   * @param id the id of the endpoint
   * @param startedAtMs the start time of the instance, 0 if unknown
   * @param source who passed this on, for the log
   * @return whether this was not known
   */
  public boolean onLeaving(String id, long startedAtMs, String source) {
    if (!leaving.add(id, startedAtMs)) {
      return false;
    }
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("endpoint-leaving")
            .with("endpoint", id)
            .with("startedAtMs", startedAtMs)
            .with("source", source));
    listed.update(id, leaving::apply);
    // Not at once: this may be called while the rows of a table are being applied.
    loop.execute(this::publish);
    return true;
  }

  /** Starts to watch the tables. */
  public void start() {
    operators.start();
    endpoints.start();
    control.start();
  }

  /** Stops watching the tables. */
  public void stop() {
    operators.stop();
    endpoints.stop();
    control.stop();
  }

  /** Returns the latest view. */
  public DeploymentView view() {
    return view;
  }

  /**
   * Returns whether a manifest is known and the endpoint and control tables were read at least
   * once.
   */
  public boolean isComplete() {
    return view.manifest().isPresent() && endpointsRead && controlRead;
  }

  /**
   * Returns the time in milliseconds since the manifest was last known to be up to date; {@link
   * Long#MAX_VALUE} before the first response.
   */
  public long manifestAgeMs() {
    return ageMs(operators.confirmedAtMs());
  }

  /**
   * Returns the time in milliseconds since the owners were last known to be up to date; {@link
   * Long#MAX_VALUE} before the first response.
   */
  public long ownersAgeMs() {
    return ageMs(control.confirmedAtMs());
  }

  /**
   * Returns the time in milliseconds since the endpoints were last known to be up to date; {@link
   * Long#MAX_VALUE} before the first response.
   */
  public long endpointsAgeMs() {
    return ageMs(endpoints.confirmedAtMs());
  }

  private static long ageMs(long confirmedAtMs) {
    return confirmedAtMs == Long.MIN_VALUE
        ? Long.MAX_VALUE
        : MonotonicClock.nowMs() - confirmedAtMs;
  }

  private void publish() {
    view =
        new DeploymentView(
            Optional.ofNullable(manifest),
            new Fleet(listed.all()),
            announcedVersions,
            weights,
            new BatchOwners(owners, control.version()));
    onChange.run();
  }

  private void logUnreadableRow(Row row, IllegalArgumentException e) {
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("row-unreadable")
            .with("table", row.table())
            .with("key", row.key())
            .with("version", row.version())
            .with("reason", e.getMessage()));
  }

  /** Applies rows with manifests and announced versions. */
  private final class OperatorTableListener implements TableWatch.Listener {
    @Override
    public void onSnapshot(List<Row> rows) {
      onChanges(rows);
    }

    @Override
    public void onChanges(List<Row> rows) {
      for (Row row : rows) {
        if (!row.isRemoved()) {
          apply(row);
        }
      }
      publish();
    }

    private void apply(Row row) {
      try {
        codec.decodeManifest(row).ifPresent(this::apply);
        codec
            .decodeAnnouncedVersion(row)
            .ifPresent(
                announced ->
                    announcedVersions.merge(announced.model(), announced.version(), Math::max));
      } catch (IllegalArgumentException e) {
        logUnreadableRow(row, e);
      }
    }

    private void apply(Manifest newManifest) {
      if (manifest == null || newManifest.version() > manifest.version()) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("manifest-taken")
                .with("version", newManifest.version())
                .with("before", manifest == null ? 0 : manifest.version()));
        manifest = newManifest;
      }
    }
  }

  /** Applies the list of endpoints. */
  private final class EndpointTableListener implements TableWatch.Listener {
    @Override
    public void onSnapshot(List<Row> rows) {
      Set<String> missing = new HashSet<>(listed.ids());
      rows.forEach(row -> missing.remove(row.key()));
      remove(missing);
      rows.forEach(this::apply);
      endpointsRead = true;
      publish();
    }

    @Override
    public void onChanges(List<Row> rows) {
      Map<String, Row> newest = new LinkedHashMap<>();
      rows.forEach(row -> newest.put(row.key(), row));
      remove(newest.values().stream().filter(Row::isRemoved).map(Row::key).toList());
      newest.values().stream().filter(row -> !row.isRemoved()).forEach(this::apply);
      publish();
    }

    /**
     * Returns for how much longer endpoints may renew entries that expired during an outage of the
     * store.
     */
    private long remainingGraceMs() {
      long recoveredAtMs = endpoints.recoveredAtMs();
      return recoveredAtMs == Long.MIN_VALUE
          ? 0
          : recoveredAtMs + RENEWAL_GRACE_MS - MonotonicClock.nowMs();
    }

    private void remove(Collection<String> ids) {
      long graceMs = remainingGraceMs();
      if (listed.remove(ids, graceMs > 0)) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("endpoints-retained").with("missing", ids.size()).with("graceMs", graceMs));
        loop.schedule(this::removeRetained, graceMs, TimeUnit.MILLISECONDS);
      }
    }

    /**
     * Removes the endpoints whose entries were not renewed. Only a response of the store from after
     * the grace period shows that: in a further outage no entry can be renewed.
     */
    private void removeRetained() {
      if (endpoints.lastResponseAtMs() < endpoints.recoveredAtMs() + RENEWAL_GRACE_MS) {
        long delayMs = Math.max(remainingGraceMs(), CONFIRMATION_CHECK_MS);
        loop.schedule(this::removeRetained, delayMs, TimeUnit.MILLISECONDS);
      } else if (listed.removeRetained()) {
        LOG.log(
            System.Logger.Level.INFO,
            LogEvent.of("endpoints-not-renewed").with("listed", listed.all().size()));
        publish();
      }
    }

    private void apply(Row row) {
      try {
        Endpoint endpoint = leaving.apply(codec.decodeEndpoint(row));
        Endpoint before = listed.put(endpoint);
        if (before == null || before.draining() != endpoint.draining()) {
          LOG.log(
              System.Logger.Level.INFO,
              LogEvent.of("endpoint-listed")
                  .with("endpoint", endpoint.id())
                  .with("service", endpoint.service())
                  .with("draining", endpoint.draining())
                  .with("version", row.version()));
        }
      } catch (IllegalArgumentException e) {
        listed.removeUnusable(row.key());
        logUnreadableRow(row, e);
      }
    }
  }

  /** Applies the owners of batches and the weight plan. */
  private final class ControlTableListener implements TableWatch.Listener {
    @Override
    public void onSnapshot(List<Row> rows) {
      owners.clear();
      controlRead = true;
      onChanges(rows);
    }

    @Override
    public void onChanges(List<Row> rows) {
      for (Row row : rows) {
        try {
          apply(row);
        } catch (IllegalArgumentException e) {
          logUnreadableRow(row, e);
        }
      }
      publish();
    }

    private void apply(Row row) {
      if (ControlTables.isReportRow(row)) {
        if (!row.isRemoved()) {
          onReports.accept(ControlTables.decodeReports(row));
        }
        return;
      }
      switch (row.key()) {
        case ControlTables.OWNER -> {
          if (row.isRemoved()) {
            owners.remove(row.partition());
          } else {
            owners.put(row.partition(), ControlTables.decodeOwner(row));
          }
        }
        case ControlTables.WEIGHTS -> {
          if (!row.isRemoved()) {
            weights = ControlTables.decodePlan(row);
          }
        }
        default -> {
          // DutyLease reads the lease rows by itself.
        }
      }
    }
  }
}
