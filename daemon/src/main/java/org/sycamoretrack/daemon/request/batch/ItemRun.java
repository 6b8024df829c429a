package org.sycamoretrack.daemon.request.batch;

import org.sycamoretrack.core.connection.SlotTracker;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.batch.BatchSubmission;
import org.sycamoretrack.core.request.batch.ItemProgress;
import org.sycamoretrack.core.version.fleet.Endpoint;
import org.sycamoretrack.daemon.client.EndpointClient;
import org.sycamoretrack.daemon.process.LogEvent;
import org.sycamoretrack.transport.request.HttpCall;

/**
 * A run of an item on an endpoint. A run is cancelled if it receives no events for too long or if
 * the endpoint uses a weight version that the batch doesn't allow. The item then waits for its next
 * run, which resumes after the last complete event.
 *
 * <p>Confined to the traffic loop.
 */
final class ItemRun implements EndpointClient.ItemListener {
  /** Events arrive every 50 ms; an endpoint at a fifth of its speed sends four in this time. */
  private static final long EVENT_TIMEOUT_MS = 1_200;

  /** The first event waits for the prefill and for requests of other nodes in the queue. */
  private static final long FIRST_EVENT_TIMEOUT_MS = 2_500;

  /**
   * A refusal ends when the endpoint's queue advances or its weights are loaded. That takes about a
   * second, so the endpoint is tried again several times in it.
   */
  private static final long REFUSED_PAUSE_MS = 120;

  /**
   * Shorter than the lifetime of an endpoint's entry, so that it is retried before that expires.
   */
  private static final long UNREACHABLE_PAUSE_MS = 800;

  /** Delay before an item is run again, multiplied by its number of runs without progress. */
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
  private boolean tooLong;
  private boolean ended;

  ItemRun(BatchRunner runner, BatchScheduler scheduler, ItemProgress item, Endpoint endpoint) {
    this.runner = runner;
    this.scheduler = scheduler;
    this.item = item;
    this.endpoint = endpoint;
    this.resumedAfterEvent = item.text().lastEvent();
  }

  void start() {
    scheduler.tracker().onSent(endpoint.id());
    BatchSubmission batch = runner.batch().submission();
    call =
        scheduler
            .endpoints()
            .runItem(
                endpoint,
                batch.host(),
                scheduler.customerOf(batch),
                item.item(),
                resumedAfterEvent,
                this);
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

  /** Ends the run so that the item continues on a faster endpoint. */
  void move() {
    if (eventReceived) {
      abandon("the endpoint is slow");
    }
  }

  /** Cancels the run without updating the item, which this node doesn't run again. */
  void cancel() {
    if (!ended) {
      ended = true;
      scheduler.tracker().onEnded(endpoint.id());
      call.cancel();
    }
  }

  /** Ends the run if the last event is too long ago. */
  void onTick(long nowMs) {
    long idleMs = nowMs - lastEventMs;
    if (idleMs > (eventReceived ? EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS)) {
      timedOut = true;
      abandon("no event for " + idleMs + " ms");
    }
  }

  private void abandon(String reason) {
    if (!ended && cancelReason == null) {
      cancelReason = reason;
      call.cancel();
    }
  }

  @Override
  public void onStart(int version, EndpointClient.LoadReport load) {
    if (ended) {
      return;
    }
    if (load != null) {
      scheduler
          .tracker()
          .onReport(endpoint.id(), load.running(), load.waiting(), MonotonicClock.nowMs());
    }
    if (version > 0) {
      scheduler.onVersion(endpoint.id(), item.item().model(), version);
      checkVersion(version);
    }
  }

  /** Returns whether the text may continue with events of a version; ends the run if not. */
  private boolean checkVersion(int version) {
    BatchSubmission submission = runner.batch().submission();
    boolean single = submission.routeSettings().singleVersion();
    if (item.text().accepts(version, single, submission.minVersion())) {
      return true;
    }
    if (version >= submission.minVersion()) {
      item.text().reset();
    }
    abandon(
        "weight version " + version + " is not allowed after versions " + item.text().versions());
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
      abandon("event " + number + " received after event " + item.text().lastEvent());
      return;
    }
    if (item.discardIfTooLong()) {
      tooLong = true;
      abandon("the text is longer than " + item.item().maxTextChars() + " characters");
      return;
    }
    if (eventReceived) {
      scheduler.tracker().onEvent(endpoint.id(), (double) (nowMs - lastEventMs), nowMs);
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
    SlotTracker tracker = scheduler.tracker();
    long nowMs = MonotonicClock.nowMs();
    tracker.onEnded(endpoint.id());
    if (end == EndpointClient.RunEnd.COMPLETE && cancelReason == null) {
      tracker.onFinished(endpoint.id());
      runner.onTextComplete(item);
      return;
    }
    String endReason = cancelReason == null ? reason : cancelReason;
    LOG.log(
        System.Logger.Level.INFO,
        LogEvent.of("run-ended")
            .with("batch", runner.batch().submission().id())
            .with("item", item.item().id())
            .with("endpoint", endpoint.id())
            .with("end", end)
            .with("lastEvent", item.text().lastEvent())
            .with("elapsedMs", nowMs - startedMs)
            .with("reason", endReason));
    switch (end) {
      case NOT_RUN -> tracker.onRefused(endpoint.id(), nowMs + REFUSED_PAUSE_MS);
      case UNREACHABLE -> tracker.onRefused(endpoint.id(), nowMs + UNREACHABLE_PAUSE_MS);
      case INTERRUPTED, COMPLETE -> {
        if (timedOut) {
          tracker.onRefused(endpoint.id(), nowMs + UNREACHABLE_PAUSE_MS);
        } else if (tooLong || !eventReceived) {
          tracker.onFailed(endpoint.id(), nowMs);
        }
      }
      case FAILED, IMPOSSIBLE -> {
        // The endpoint itself works and needs no pause.
      }
    }
    updateItem(end, endReason, nowMs);
  }

  private void updateItem(EndpointClient.RunEnd end, String reason, long nowMs) {
    boolean failed = end == EndpointClient.RunEnd.FAILED;
    if (end == EndpointClient.RunEnd.IMPOSSIBLE) {
      item.onImpossible();
    } else {
      boolean progressed = item.text().lastEvent() > resumedAfterEvent;
      int factor = Math.min(MAX_RETRY_FACTOR, item.interruptions());
      boolean refused =
          end == EndpointClient.RunEnd.NOT_RUN || end == EndpointClient.RunEnd.UNREACHABLE;
      item.onEnded(failed, progressed, nowMs + (refused ? 0 : RETRY_DELAY_MS * factor));
    }
    if (failed || item.isImpossible()) {
      runner.onRunFailed(item, reason);
    } else {
      runner.onRunEnded(item);
    }
  }
}
