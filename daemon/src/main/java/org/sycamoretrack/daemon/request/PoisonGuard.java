package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.PoisonRequestDetector;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Makes the node's {@link PoisonRequestDetector} thread-safe and shares its charges with other
 * nodes.
 *
 * <p>Each crash of an endpoint has an id that is unique among all nodes, so that charges can be
 * merged in any order.
 */
public final class PoisonGuard {
  private static final System.Logger LOG = System.getLogger(PoisonGuard.class.getName());
  private static final long QUARANTINE_MS = 600_000;
  private static final long CHARGE_TTL_MS = 120_000;

  private final String nodeId;
  private final PoisonRequestDetector registry;
  private final AtomicLong deaths = new AtomicLong();
  private volatile Consumer<PoisonRequestDetector.CrashRecord> broadcast = charge -> {};

  /**
   * Creates a guard.
   *
   * @param nodeId the id of this node, which is part of the ids of crashes
   */
  public PoisonGuard(String nodeId) {
    this.nodeId = nodeId;
    this.registry = new PoisonRequestDetector(nodeId, QUARANTINE_MS, CHARGE_TTL_MS);
  }

  /**
   * Sets the listener that sends charges to other nodes.
   *
   * @param listener called with each charge of this node
   */
  public void onCharge(Consumer<PoisonRequestDetector.CrashRecord> listener) {
    broadcast = listener;
  }

  /** Returns whether a request may run on an endpoint now. */
  synchronized PoisonRequestDetector.Verdict verdict(String fingerprint, String endpoint) {
    return registry.verdict(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Returns whether requests with a fingerprint must be refused. */
  synchronized boolean isQuarantined(String fingerprint) {
    return registry.isQuarantined(fingerprint, MonotonicClock.nowMs());
  }

  /** Called when a request starts on an endpoint. */
  synchronized void onStart(String fingerprint, String endpoint) {
    registry.onStart(fingerprint, endpoint);
  }

  /** Called when a request succeeded on an endpoint. */
  synchronized void onSuccess(String fingerprint, String endpoint) {
    registry.onSuccess(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Called when a request ended without success and without a crash of the endpoint. */
  synchronized void onEnd(String fingerprint, String endpoint) {
    registry.onEnd(fingerprint, endpoint);
  }

  /** Called when an endpoint crashed. Charges the requests it was running and tells other nodes. */
  void onEndpointCrash(String endpoint) {
    String deathId = nodeId + '/' + endpoint + '/' + deaths.incrementAndGet();
    List<PoisonRequestDetector.CrashRecord> charges;
    synchronized (this) {
      charges = registry.onEndpointCrash(endpoint, deathId, MonotonicClock.nowMs());
    }
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("endpoint-died").with("endpoint", endpoint).with("charges", charges.size()));
    charges.forEach(broadcast);
  }

  /**
   * Adds a charge of another node. Its time is the local time of arrival, since the clocks of nodes
   * differ.
   *
   * @param message the charge
   */
  public synchronized void merge(PoisonMessage message) {
    registry.merge(
        new PoisonRequestDetector.CrashRecord(
            message.fingerprint(),
            message.endpoint(),
            message.observer(),
            message.deathId(),
            MonotonicClock.nowMs()));
  }

  /** Removes expired charges and returns the quarantined fingerprints. */
  public synchronized List<String> quarantined() {
    registry.expire(MonotonicClock.nowMs());
    return registry.quarantined(MonotonicClock.nowMs());
  }
}
