package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.PoisonRegistry;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * The node's {@link PoisonRegistry}, shared by the event loops and kept in step with other nodes.
 *
 * <p>Each death of an endpoint has an id that is unique among all nodes, so that charges can be
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
   * @param nodeId the node, a part of the ids of deaths
   */
  public PoisonGuard(String nodeId) {
    this.nodeId = nodeId;
    this.registry = new PoisonRegistry(nodeId, QUARANTINE_MS, CHARGE_TTL_MS);
  }

  /**
   * Sets who tells charges to the other nodes.
   *
   * @param listener called with each charge of this node
   */
  public void onCharge(Consumer<PoisonRegistry.Charge> listener) {
    broadcast = listener;
  }

  /** Says whether a request may run on an endpoint now. */
  synchronized PoisonRegistry.Verdict verdict(String fingerprint, String endpoint) {
    return registry.verdict(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Returns whether a request is to be refused. */
  synchronized boolean isQuarantined(String fingerprint) {
    return registry.isQuarantined(fingerprint, MonotonicClock.nowMs());
  }

  /** Notes that a request starts on an endpoint. */
  synchronized void onStart(String fingerprint, String endpoint) {
    registry.onStart(fingerprint, endpoint);
  }

  /** Notes that a request ended well. */
  synchronized void onSuccess(String fingerprint, String endpoint) {
    registry.onSuccess(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Notes that a request ended otherwise while the endpoint lives. */
  synchronized void onEnd(String fingerprint, String endpoint) {
    registry.onEnd(fingerprint, endpoint);
  }

  /** Notes that an endpoint died with all that it ran, and tells the other nodes. */
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
   * Takes over a charge of another node. Its time is that of this node, since clocks differ.
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

  /** Returns the fingerprints that are quarantined, and drops charges that no longer count. */
  public synchronized List<String> quarantined() {
    registry.expire(MonotonicClock.nowMs());
    return registry.quarantined(MonotonicClock.nowMs());
  }
}
