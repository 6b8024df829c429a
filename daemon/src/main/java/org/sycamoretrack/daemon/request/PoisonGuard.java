package org.sycamoretrack.daemon.request;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sycamoretrack.core.process.MonotonicClock;
import org.sycamoretrack.core.request.PoisonRequestDetector;
import org.sycamoretrack.daemon.process.LogEvent;

/**
 * Makes the node's {@link PoisonRequestDetector} thread-safe and shares its crash records with
 * other nodes.
 *
 * <p>Each crash of an endpoint has an id that is unique among all nodes, so that records can be
 * merged in any order.
 */
public final class PoisonGuard {
  private static final System.Logger LOG = System.getLogger(PoisonGuard.class.getName());

  /** How long a request is refused after its latest crash. */
  public static final long QUARANTINE_MS = 600_000;

  private static final long CRASH_TTL_MS = 120_000;

  private final String nodeId;
  private final PoisonRequestDetector detector;
  private final AtomicLong crashCount = new AtomicLong();
  private volatile Consumer<PoisonRequestDetector.CrashRecord> broadcast = crashRecord -> {};

  /**
   * Creates a guard.
   *
   * @param nodeId the id of this node, which is part of the ids of crashes
   */
  public PoisonGuard(String nodeId) {
    this.nodeId = nodeId;
    this.detector = new PoisonRequestDetector(nodeId, QUARANTINE_MS, CRASH_TTL_MS);
  }

  /**
   * Sets the listener that sends crash records to other nodes.
   *
   * @param listener called with each crash record of this node
   */
  public void onCrashRecord(Consumer<PoisonRequestDetector.CrashRecord> listener) {
    broadcast = listener;
  }

  /** Returns whether a request may run on an endpoint now. */
  public synchronized PoisonRequestDetector.Verdict verdict(String fingerprint, String endpoint) {
    return detector.verdict(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Returns whether requests with a fingerprint must be refused. */
  public synchronized boolean isQuarantined(String fingerprint) {
    return detector.isQuarantined(fingerprint, MonotonicClock.nowMs());
  }

  /**
   * Returns how much longer requests with a fingerprint are refused, in milliseconds; 0 if they are
   * not.
   */
  public synchronized long quarantineRemainingMs(String fingerprint) {
    return detector.quarantineRemainingMs(fingerprint, MonotonicClock.nowMs());
  }

  /** Returns whether crashes of a request still count against it. */
  public synchronized boolean isAccused(String fingerprint) {
    long nowMs = MonotonicClock.nowMs();
    return detector.isSuspect(fingerprint, nowMs) || detector.isQuarantined(fingerprint, nowMs);
  }

  /** Called when a request starts on an endpoint. */
  public synchronized void onStart(String fingerprint, String endpoint) {
    detector.onStart(fingerprint, endpoint);
  }

  /** Called when a request succeeded on an endpoint. */
  public synchronized void onSuccess(String fingerprint, String endpoint) {
    detector.onSuccess(fingerprint, endpoint, MonotonicClock.nowMs());
  }

  /** Called when a request ended without success and without a crash of the endpoint. */
  public synchronized void onEnd(String fingerprint, String endpoint) {
    detector.onEnd(fingerprint, endpoint);
  }

  /** Called when an endpoint crashed. Records the crash for its requests and tells other nodes. */
  public void onEndpointCrash(String endpoint) {
    String deathId = nodeId + '/' + endpoint + '/' + crashCount.incrementAndGet();
    record(endpoint, deathId, Set.of());
  }

  /**
   * Called when an instance of an endpoint crashed, whose name no other one has. All nodes give
   * that crash the same id, so it counts once, whoever reports it and whenever.
   *
   * @param instance the name of the instance
   * @param ended the requests that had ended before without a response, to which the crash is
   *     attributed as well
   */
  public void onInstanceCrash(String instance, Set<String> ended) {
    record(instance, instance, ended);
  }

  private void record(String endpoint, String deathId, Set<String> ended) {
    List<PoisonRequestDetector.CrashRecord> crashRecords;
    synchronized (this) {
      crashRecords = detector.onEndpointCrash(endpoint, ended, deathId, MonotonicClock.nowMs());
    }
    LOG.log(
        System.Logger.Level.WARNING,
        LogEvent.of("endpoint-died")
            .with("endpoint", endpoint)
            .with("charges", crashRecords.size()));
    crashRecords.forEach(broadcast);
  }

  /**
   * Adds a crash record of another node. Its time is the local time of arrival, since the clocks of
   * nodes differ.
   *
   * @param message the record
   */
  public synchronized void merge(PoisonMessage message) {
    detector.merge(
        new PoisonRequestDetector.CrashRecord(
            message.fingerprint(),
            message.endpoint(),
            message.observer(),
            message.deathId(),
            MonotonicClock.nowMs()));
  }

  /** Removes expired records. To be called periodically. */
  public synchronized void expire() {
    detector.expire(MonotonicClock.nowMs());
  }

  /** Removes expired records and returns the quarantined fingerprints. */
  public synchronized List<String> quarantined() {
    expire();
    return detector.quarantined(MonotonicClock.nowMs());
  }
}
