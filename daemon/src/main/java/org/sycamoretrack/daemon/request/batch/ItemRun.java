package org.sycamoretrack.daemon.request.batch;

import org.sycamoretrack.core.connection.SlotLedger;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.farend.EndpointClient;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * One run of an item at an endpoint. It ends by itself, or is cancelled when it has gone silent or
 * would be made by weights that the batch doesn't allow; the item then waits for its next run,
 * which goes on after the last whole event.
 *
 * <p>Confined to the traffic loop.
 */
final class ItemRun implements EndpointClient.ItemListener {
  /** Events come each 50 ms; an endpoint at a fifth of its speed still sends four in this time. */
  private static final long EVENT_TIMEOUT_MS = 1_200;

  /** The first event waits for the prompt and for what another node has put into the queue. */
  private static final long FIRST_EVENT_TIMEOUT_MS = 2_500;

  /** A refusal lasts as long as a queue moves on or weights load, about a second in parts. */
  private static final long REFUSED_PAUSE_MS = 120;

  /** An endpoint that can't be reached is tried again before its entry would lapse. */
  private static final long UNREACHABLE_PAUSE_MS = 800;

  /**
   * Wait before the next run of an item that has broken off without progress, times their number.
   */
  private static final long RETRY_DELAY_MS = 60;

  private static final int MAX_RETRY_FACTOR = 20;
  private static final System.Logger LOG = System.getLogger(ItemRun.class.getName());

  private final BatchRunner runner;
  private final BatchScheduler scheduler;
  private final ItemProgress item;
  private final Endpoint endpoint;
  private final int resumedAfterEvent;
  private final long startedMs = MonotonicClock.nowMs();
  private long lastEventMs = startedMs;
  private boolean eventReceived;
  private HttpCall call;
  private String cancelReason;
  private boolean timedOut;
  private boolean ended;

  ItemRun(BatchRunner runner, BatchScheduler scheduler, ItemProgress item, Endpoint endpoint) {
    this.runner = runner;
    this.scheduler = scheduler;
    this.item = item;
    this.endpoint = endpoint;
    this.resumedAfterEvent = item.text().lastEvent();
  }

  void start(String host) {
    scheduler.ledger().onSent(endpoint.id());
    call = scheduler.endpoints().run(endpoint, host, item.item(), resumedAfterEvent, this);
  }

  ItemProgress item() {
    return item;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  long elapsedMs(long nowMs) {
    return nowMs - startedMs;
  }

  /** Ends the run so that the item goes on at a faster endpoint. */
  void move() {
    if (eventReceived) {
      abandon("the endpoint is slow");
    }
  }

  /** Ends the run; the item is not run again by this node. */
  void cancel() {
    if (!ended) {
      ended = true;
      scheduler.ledger().onEnded(endpoint.id());
      call.cancel();
    }
  }

  /** Ends the run when nothing has come for too long. */
  void onTick(long nowMs) {
    long silentMs = nowMs - lastEventMs;
    if (silentMs > (eventReceived ? EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS)) {
      timedOut = true;
      abandon("no event for " + silentMs + " ms");
    }
  }

  private void abandon(String reason) {
    if (!ended && cancelReason == null) {
      cancelReason = reason;
      call.cancel();
    }
  }

  @Override
  public void onStart(int version, EndpointClient.Load load) {
    if (ended) {
      return;
    }
    if (load != null) {
      scheduler
          .ledger()
          .onReport(endpoint.id(), load.running(), load.waiting(), MonotonicClock.nowMs());
    }
    if (version > 0) {
      scheduler.onVersion(endpoint.id(), item.item().model(), version);
      checkVersion(version);
    }
  }

  /** Returns whether the text may go on with events of a version; ends the run when it may not. */
  private boolean checkVersion(int version) {
    BatchSubmission submission = runner.batch().submission();
    boolean single = submission.terms().singleVersion();
    if (item.text().accepts(version, single, submission.minVersion())) {
      return true;
    }
    if (version >= submission.minVersion()) {
      item.text().reset();
    }
    abandon("version " + version + " is not allowed after " + item.text().versions());
    return false;
  }

  @Override
  public void onEvent(int number, String data, int version) {
    if (ended || cancelReason != null) {
      return;
    }
    long nowMs = MonotonicClock.nowMs();
    if (version > 0 && !checkVersion(version)) {
      return;
    }
    if (!item.text().append(number, data, version)) {
      abandon("event " + number + " came after event " + item.text().lastEvent());
      return;
    }
    if (eventReceived) {
      scheduler.ledger().onEvent(endpoint.id(), (double) (nowMs - lastEventMs), nowMs);
    }
    eventReceived = true;
    lastEventMs = nowMs;
  }

  @Override
  public void onEnd(EndpointClient.RunEnd end, String reason) {
    if (ended) {
      return;
    }
    ended = true;
    SlotLedger ledger = scheduler.ledger();
    long nowMs = MonotonicClock.nowMs();
    ledger.onEnded(endpoint.id());
    if (end == EndpointClient.RunEnd.COMPLETE && cancelReason == null) {
      ledger.onFinished(endpoint.id());
      runner.finish(item, true, reason);
      return;
    }
    String why = cancelReason == null ? reason : cancelReason;
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("run-ended")
            .with("batch", runner.batch().submission().id())
            .with("item", item.item().id())
            .with("endpoint", endpoint.id())
            .with("end", end)
            .with("lastEvent", item.text().lastEvent())
            .with("elapsedMs", nowMs - startedMs)
            .with("reason", why));
    switch (end) {
      case NOT_RUN -> ledger.onRefused(endpoint.id(), nowMs + REFUSED_PAUSE_MS);
      case UNREACHABLE -> ledger.onRefused(endpoint.id(), nowMs + UNREACHABLE_PAUSE_MS);
      case INTERRUPTED, COMPLETE -> {
        if (timedOut) {
          ledger.onRefused(endpoint.id(), nowMs + UNREACHABLE_PAUSE_MS);
        } else if (!eventReceived) {
          ledger.onFailed(endpoint.id(), nowMs);
        }
      }
      case FAILED, IMPOSSIBLE -> {
        // The endpoint works.
      }
    }
    updateItem(end, why, nowMs);
  }

  private void updateItem(EndpointClient.RunEnd end, String reason, long nowMs) {
    boolean failed = end == EndpointClient.RunEnd.FAILED;
    boolean progressed = item.text().lastEvent() > resumedAfterEvent;
    int factor = Math.min(MAX_RETRY_FACTOR, item.interruptions());
    boolean refused =
        end == EndpointClient.RunEnd.NOT_RUN || end == EndpointClient.RunEnd.UNREACHABLE;
    item.onEnded(failed, progressed, nowMs + (refused ? 0 : RETRY_DELAY_MS * factor));
    if (end == EndpointClient.RunEnd.IMPOSSIBLE
        || item.failures() >= runner.batch().submission().terms().attempts()) {
      runner.finish(item, false, reason);
    } else {
      runner.onRunEnded(item);
    }
  }
}
