package org.sycamoretrack.daemon.version.duty;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.sycamoretrack.core.process.Lease;
import org.sycamoretrack.core.process.LeaseTimings;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.process.SuspendAwareStopwatch;
import org.sycamoretrack.core.request.ExecutionOutcome;
import org.sycamoretrack.daemon.client.DutyGrant;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.PartitionWrite;
import org.sycamoretrack.daemon.client.PartitionedStore;
import org.sycamoretrack.daemon.client.PartitionedStore.Page;
import org.sycamoretrack.daemon.client.PartitionedStore.Row;
import org.sycamoretrack.daemon.client.PartitionedStore.WriteResult;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.daemon.version.deployment.ControlTables;

/**
 * The lease that permits one node to perform a {@link Duty}, stored as a row of the store.
 *
 * <p>The systems that the holder calls are not required to check epochs, so a holder calls only
 * while no other node can hold the lease. {@link #mayCall} measures the time since the last renewal
 * was sent, both with the monotonic and with the wall clock, and uses the larger value, since the
 * monotonic clock stops while the host is suspended. After acquiring the lease, a new holder delays
 * its first call, so that at least {@value #HANDOVER_DELAY_MS} ms pass between calls of two
 * holders. The row says how much of this delay is left, so that a new process of the host that
 * holds the lease waits for the rest of it.
 *
 * <p>Confined to the control loop.
 */
public final class DutyLease {
  /**
   * The holder stops calling 1.4 s after its last renewal; others take over after 2.4 s without
   * one.
   */
  private static final LeaseTimings TIMINGS = new LeaseTimings(1_900, 500, 500, 200);

  /**
   * The platform treats calls of two holders within 3 s of each other as alternating calls of
   * concurrent holders; this adds a margin of 10%.
   */
  private static final long HANDOVER_DELAY_MS = 3_300;

  /**
   * The part of {@link #HANDOVER_DELAY_MS} that has already passed when an expired lease is taken
   * over.
   */
  private static final long EXPIRY_WAIT_MS = TIMINGS.takeOverAfterMs() - usableMs();

  /** Short enough that a renewal without a response fails while the lease is still valid. */
  private static final long CALL_TIMEOUT_MS = 500;

  private static final long TICK_MS = 100;
  private static final System.Logger LOG = System.getLogger(DutyLease.class.getName());

  private final Duty duty;
  private final PartitionedStore store;
  private final EventLoop loop;
  private final String holder;
  private final String incarnation;
  private final Lease lease;
  private final SuspendAwareStopwatch renewalStopwatch = new SuspendAwareStopwatch();
  private long sentMonotonicMs;
  private long sentWallClockMs;
  private long lastEpoch;
  private long takenAtMs;
  private long handoverDelayMs = HANDOVER_DELAY_MS;
  private boolean candidate;
  private boolean reclaiming = true;

  /**
   * Creates a lease that this node does not hold.
   *
   * @param duty the duty that the lease permits
   * @param store the store, which completes calls on the loop
   * @param loop the control loop
   * @param holder identifies this host; a host that replaces it must have another value
   * @param incarnation identifies this run of the process
   */
  public DutyLease(
      Duty duty, PartitionedStore store, EventLoop loop, String holder, String incarnation) {
    this.duty = duty;
    this.store = store;
    this.loop = loop;
    this.holder = holder;
    this.incarnation = incarnation;
    this.lease = new Lease(TIMINGS, incarnation);
  }

  private static long usableMs() {
    return TIMINGS.ttlMs() - TIMINGS.pauseMarginMs();
  }

  /**
   * Starts to renew the lease while it is held, and to acquire it while this node is a candidate or
   * an earlier process of this host was the last holder.
   */
  public void start() {
    Runnable task = Failures.periodicTask(duty.id() + "-lease", this::tick);
    loop.scheduleAtFixedRate(task, 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sets whether this node tries to acquire the lease. Among many nodes only a few need to be
   * candidates.
   */
  public void setCandidate(boolean isCandidate) {
    candidate = isCandidate;
  }

  /** Returns the epoch, or 0 when this node does not hold the lease. */
  public long epoch() {
    return lease.epoch();
  }

  /** Returns whether this node holds the lease and may therefore prepare calls. */
  public boolean isHeld() {
    long elapsedMs = renewalStopwatch.elapsedMs(MonotonicClock.nowMs(), System.currentTimeMillis());
    return lease.epoch() > 0 && elapsedMs < usableMs();
  }

  /** Returns whether a call may be sent at this moment. */
  public boolean mayCall() {
    return isHeld() && MonotonicClock.nowMs() - takenAtMs >= handoverDelayMs;
  }

  /**
   * Returns the permission for a call that is sent at this moment; empty if none may be sent.
   *
   * @param nodeId the id of this node
   */
  public Optional<DutyGrant> grant(String nodeId) {
    return mayCall() ? Optional.of(new DutyGrant(nodeId, lease.epoch())) : Optional.empty();
  }

  /**
   * Releases the lease.
   *
   * @return completes after a short delay in which the store is asked to record the release
   */
  public CompletionStage<Void> release() {
    lease.release();
    CompletableFuture<Void> done = new CompletableFuture<>();
    tick();
    loop.schedule(() -> done.complete(null), 2 * TICK_MS, TimeUnit.MILLISECONDS);
    return done;
  }

  private void tick() {
    if (!candidate && !reclaiming && lease.epoch() == 0) {
      return;
    }
    switch (lease.next(MonotonicClock.nowMs())) {
      case Lease.Command.Wait waiting -> {
        // Nothing is due.
      }
      case Lease.Command.Read reading -> read();
      case Lease.Command.Write writing -> write(writing.row());
    }
    onEpochMayHaveChanged();
  }

  private void onEpochMayHaveChanged() {
    if (lease.epoch() != lastEpoch) {
      lastEpoch = lease.epoch();
      takenAtMs = MonotonicClock.nowMs();
      LOG.log(
          System.Logger.Level.INFO,
          LogEvent.of(lastEpoch > 0 ? duty.takenEvent() : duty.lostEvent())
              .with("duty", duty.id())
              .with("epoch", lastEpoch));
    }
  }

  private void read() {
    store
        .scan(ControlTables.CONTROL, duty.id(), ControlTables.LEASE, 1)
        .whenComplete(
            Failures.loggingExceptions(
                (page, failure) -> {
                  if (failure != null) {
                    lease.onReadFailed(MonotonicClock.nowMs());
                  } else {
                    lease.onRead(findLease(page), MonotonicClock.nowMs());
                    onEpochMayHaveChanged();
                  }
                }));
  }

  /**
   * Finds the lease on a page. A lease of an earlier process of this host is returned as released,
   * since that process has ended.
   */
  private Lease.Row findLease(Page page) {
    for (Row row : page.rows()) {
      if (row.key().equals(ControlTables.LEASE)) {
        Lease.Row found = ControlTables.decodeLease(row);
        boolean sameHost = ControlTables.decodeHolder(row).equals(holder);
        boolean earlierProcess = sameHost && !found.incarnation().equals(incarnation);
        reclaiming = earlierProcess;
        if (earlierProcess) {
          handoverDelayMs = ControlTables.decodeHandoverRemainingMs(row, HANDOVER_DELAY_MS);
        } else if (!sameHost) {
          handoverDelayMs = HANDOVER_DELAY_MS - (found.released() ? 0 : EXPIRY_WAIT_MS);
        }
        return earlierProcess
            ? new Lease.Row(
                found.version(), found.epoch(), found.incarnation(), found.sequence(), true)
            : found;
      }
    }
    reclaiming = false;
    return Lease.Row.NONE;
  }

  /**
   * Returns the rest of the delay after the previous holder; all of it before the lease is held.
   */
  private long handoverRemainingMs() {
    long elapsedMs = lease.epoch() > 0 ? MonotonicClock.nowMs() - takenAtMs : 0;
    return Math.max(0, handoverDelayMs - elapsedMs);
  }

  private void write(Lease.Row row) {
    sentMonotonicMs = MonotonicClock.nowMs();
    sentWallClockMs = System.currentTimeMillis();
    PartitionWrite write =
        PartitionWrite.in(duty.id())
            .expect(ControlTables.CONTROL, ControlTables.LEASE, row.version())
            .put(
                ControlTables.CONTROL,
                ControlTables.LEASE,
                ControlTables.encode(row, holder, handoverRemainingMs()))
            .build();
    Failures.withTimeout(store.commit(write), loop, CALL_TIMEOUT_MS)
        .whenComplete(
            Failures.loggingExceptions(
                (result, failure) -> {
                  if (failure != null) {
                    if (Failures.outcome(failure) == ExecutionOutcome.NOT_RUN) {
                      lease.onRefused(MonotonicClock.nowMs());
                    } else {
                      lease.onOutcomeUnknown(MonotonicClock.nowMs());
                    }
                  } else {
                    switch (result) {
                      case WriteResult.Committed committed -> {
                        renewalStopwatch.start(sentMonotonicMs, sentWallClockMs);
                        lease.onWritten(committed.version());
                      }
                      case WriteResult.Conflict conflict ->
                          lease.onOutcomeUnknown(MonotonicClock.nowMs());
                    }
                  }
                  onEpochMayHaveChanged();
                }));
  }
}
