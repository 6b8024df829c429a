package org.sycamoretrack.daemon.request;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sycamoretrack.core.request.ClaimLimits;
import org.sycamoretrack.daemon.client.Failures;
import org.sycamoretrack.daemon.client.TableStore;
import org.sycamoretrack.daemon.process.ControlInbox;
import org.sycamoretrack.daemon.process.LogEvent;

/** Dependencies that all key ranges of a node share. */
final class ClaimContext {
  private static final System.Logger LOG = System.getLogger(ClaimService.class.getName());

  private final String nodeId;
  private final String writer;
  private final ClaimTable table;
  private final RangeOwnerMonitor ownerMonitor;
  private final ClaimTimes times;
  private final ClaimLimits limits;
  private final LongSupplier clockMs;
  private final LongSupplier epochClockMs;
  private final Supplier<? extends Collection<String>> aliveNodeIds;
  private final ControlInbox inbox;

  ClaimContext(ClaimService.Builder builder, ControlInbox inbox, TableStore table) {
    this.nodeId = builder.nodeId;
    this.writer = builder.writer;
    this.table = new ClaimTable(table);
    this.ownerMonitor =
        new RangeOwnerMonitor(table, builder.times.takeOverAfterMs(), builder.clockMs);
    this.times = builder.times;
    this.limits = builder.limits;
    this.clockMs = builder.clockMs;
    this.epochClockMs = builder.epochClockMs;
    this.aliveNodeIds = builder.aliveNodeIds;
    this.inbox = inbox;
  }

  String nodeId() {
    return nodeId;
  }

  /** Returns the id of this process, unique among all processes past and future. */
  String writer() {
    return writer;
  }

  ClaimTable table() {
    return table;
  }

  RangeOwnerMonitor ownerMonitor() {
    return ownerMonitor;
  }

  ClaimTimes times() {
    return times;
  }

  ClaimLimits limits() {
    return limits;
  }

  /** Returns the monotonic time in milliseconds. */
  long nowMs() {
    return clockMs.getAsLong();
  }

  /** Returns the time in milliseconds since the epoch. */
  long epochMs() {
    return epochClockMs.getAsLong();
  }

  /** Returns whether a range's owner is presumed to have stopped, judging by its node's lease. */
  boolean isOwnerGone(ClaimTable.Owner owner, Optional<TableStore.Row> lease, long sentMs) {
    boolean alive = aliveNodeIds.get().contains(owner.nodeId());
    return ownerMonitor.isGone(owner, lease, sentMs, alive);
  }

  <T> void onResult(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
    inbox.onResult(stage, action);
  }

  void log(String event, String range, Throwable failure) {
    System.Logger.Level level =
        failure == null ? System.Logger.Level.INFO : System.Logger.Level.WARNING;
    LogEvent entry = LogEvent.of(event).with("range", range);
    if (failure != null) {
      entry.with("message", Failures.unwrap(failure).getMessage());
    }
    LOG.log(level, entry);
  }
}
