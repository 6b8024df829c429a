package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.PoisonRegistry;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Makes the node's {@link PoisonRegistry} thread-safe and shares its charges with other nodes.
 *
 * <p>Each crash of an endpoint has an id that is unique among all nodes, so that charges can be
 * merged in any order.
 */
public final class PoisonGuard {
  private static final System.Logger LOG = System.getLogger(PoisonGuard.class.getName());
  private static final long QUARANTINE_MS = 600_000;
  private static final long CHARGE_TTL_MS = 120_000;

  private final String nodeId;
  private final PoisonRegistry registry;
  private final AtomicLong deaths = new AtomicLong();
  private volatile Consumer<PoisonRegistry.Charge> broadcast = charge -> {};

  /**
   * Creates a guard.
   *
   * @param nodeId the id of this node, which is part of the ids of crashes
   */
  public PoisonGuard(String nodeId) {
    this.nodeId = nodeId;
    this.registry = new PoisonRegistry(nodeId, QUARANTINE_MS, CHARGE_TTL_MS);
  }

  /**
   * Sets the listener that sends charges to other nodes.
   *
   * @param listener called with each charge of this node
   */
  public void onCharge(Consumer<PoisonRegistry.Charge> listener) {
    broadcast = listener;
  }

  /** Returns whether a request may run on an endpoint now. */
  synchronized PoisonRegistry.Verdict verdict(String fingerprint, String endpoint) {
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
  void onEndpointDeath(String endpoint) {
    String deathId = nodeId + '/' + endpoint + '/' + deaths.incrementAndGet();
    List<PoisonRegistry.Charge> charges;
    synchronized (this) {
      charges = registry.onEndpointDeath(endpoint, deathId, MonotonicClock.nowMs());
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
        new PoisonRegistry.Charge(
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
