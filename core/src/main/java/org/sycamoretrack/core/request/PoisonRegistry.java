package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds requests that crash the endpoints that run them.
 *
 * <p>When an endpoint dies, the fingerprints of all requests that it ran are charged with this
 * death. A fingerprint with one charge is a suspect: at most one suspect runs on an endpoint at a
 * time, the others wait or go elsewhere. When the endpoint of a suspect dies, the suspect gets its
 * second charge and is quarantined for a bounded time, and its neighbours, which were no suspects,
 * get their first. A suspect that ends well is cleared.
 *
 * <p>So two innocents never share a second death with the poison: the first death makes them
 * suspects, and from then on each runs without another suspect beside it.
 *
 * <p>Example: poison p and innocents a, b run on x; x dies: p, a and b are suspects. a runs on y
 * and ends: cleared. p runs on y beside the new c; y dies: p is quarantined, c is a suspect. b and
 * c run alone of their kind and are cleared.
 *
 * <p>Charges name the death, so that charges from other nodes can be merged in any order and any
 * number of times. Several nodes may see one death of an endpoint, each under a name of its own;
 * deaths of one endpoint that different nodes saw less than {@value #SAME_CRASH_WINDOW_MS} ms apart
 * are one. Not thread-safe.
 */
public final class PoisonRegistry {
  private static final int QUARANTINE_CRASHES = 2;

  /** An endpoint that died needs longer to start again, and nodes see its death within this. */
  private static final long SAME_CRASH_WINDOW_MS = 1_000;

  private final String nodeId;
  private final long quarantineMs;
  private final long crashTtlMs;
  private final Map<String, CrashHistory> crashesByFingerprint = new HashMap<>();
  private final Map<String, Map<String, Integer>> runningByEndpoint = new HashMap<>();

  /** Whether a request may run on an endpoint. */
  public enum Verdict {
    /** It may run. */
    RUN,
    /** It is a suspect and another suspect runs on the endpoint: wait, or choose another. */
    HOLD,
    /** It is quarantined: refuse it. */
    QUARANTINED
  }

  /**
   * A charge as nodes tell it to each other.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint that died
   * @param observer the node that saw it die
   * @param deathId names the death as that node saw it, unique among all nodes
   * @param atMs when the endpoint died
   */
  public record Charge(
      String fingerprint, String endpoint, String observer, String deathId, long atMs) {
    private boolean isSameCrashSeenByAnotherNode(Charge other) {
      return endpoint.equals(other.endpoint)
          && !observer.equals(other.observer)
          && Math.abs(atMs - other.atMs) < SAME_CRASH_WINDOW_MS;
    }
  }

  /**
   * Creates an empty registry.
   *
   * @param quarantineMs how long a quarantine lasts after the last charge
   * @param chargeTtlMs how long a single charge counts
   */
  public PoisonRegistry(long quarantineMs, long chargeTtlMs) {
    this("", quarantineMs, chargeTtlMs);
  }

  /**
   * Creates an empty registry of a node among others.
   *
   * @param nodeId the node, which sees deaths of endpoints as others do
   * @param quarantineMs how long a quarantine lasts after the last charge
   * @param chargeTtlMs how long a single charge counts
   */
  public PoisonRegistry(String nodeId, long quarantineMs, long chargeTtlMs) {
    this.nodeId = nodeId;
    this.quarantineMs = quarantineMs;
    this.crashTtlMs = chargeTtlMs;
  }

  /**
   * Says whether a request may run on an endpoint now. Nothing is noted.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint's name
   * @param nowMs the time now
   */
  public Verdict verdict(String fingerprint, String endpoint, long nowMs) {
    if (isQuarantined(fingerprint, nowMs)) {
      return Verdict.QUARANTINED;
    }
    boolean blocked = isSuspect(fingerprint, nowMs) && hasRunningSuspect(endpoint, nowMs);
    return blocked ? Verdict.HOLD : Verdict.RUN;
  }

  /**
   * Notes that a request starts on an endpoint.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint's name
   */
  public void onStart(String fingerprint, String endpoint) {
    runningByEndpoint
        .computeIfAbsent(endpoint, name -> new HashMap<>())
        .merge(fingerprint, 1, Integer::sum);
  }

  /**
   * Notes that a request ended well: its charges are dropped, unless it is quarantined.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint's name
   * @param nowMs the time now
   */
  public void onSuccess(String fingerprint, String endpoint, long nowMs) {
    onEnd(fingerprint, endpoint);
    if (!isQuarantined(fingerprint, nowMs)) {
      crashesByFingerprint.remove(fingerprint);
    }
  }

  /**
   * Notes that a request ended otherwise: cancelled or failed while the endpoint lives.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint's name
   */
  public void onEnd(String fingerprint, String endpoint) {
    Map<String, Integer> running = runningByEndpoint.get(endpoint);
    if (running == null) {
      return;
    }
    running.computeIfPresent(fingerprint, (key, count) -> count == 1 ? null : count - 1);
    if (running.isEmpty()) {
      runningByEndpoint.remove(endpoint);
    }
  }

  /**
   * Notes that an endpoint died; its requests have ended by this.
   *
   * @param endpoint the endpoint's name
   * @param deathId names the death, unique among all nodes
   * @param nowMs the time now
   * @return the charges to be told to the other nodes
   */
  public List<Charge> onEndpointDeath(String endpoint, String deathId, long nowMs) {
    Map<String, Integer> running = runningByEndpoint.remove(endpoint);
    if (running == null) {
      return List.of();
    }
    Set<String> charged = new HashSet<>(running.keySet());
    List<Charge> charges = new ArrayList<>();
    for (String fingerprint : charged) {
      Charge charge = new Charge(fingerprint, endpoint, nodeId, deathId, nowMs);
      merge(charge);
      charges.add(charge);
    }
    return charges;
  }

  /**
   * Takes over a charge, of this node or another.
   *
   * @param charge the charge
   */
  public void merge(Charge charge) {
    CrashHistory charges =
        crashesByFingerprint.computeIfAbsent(charge.fingerprint(), key -> new CrashHistory());
    boolean counts =
        charges.crashIds.size() < QUARANTINE_CRASHES
            && !charges.crashIds.contains(charge.deathId())
            && charges.crashes.stream().noneMatch(charge::isSameCrashSeenByAnotherNode);
    if (counts) {
      charges.crashIds.add(charge.deathId());
      charges.crashes.add(charge);
      charges.latestAtMs = Math.max(charges.latestAtMs, charge.atMs());
    }
  }

  /**
   * Returns whether a request is to be refused.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowMs the time now
   */
  public boolean isQuarantined(String fingerprint, long nowMs) {
    CrashHistory charges = crashesByFingerprint.get(fingerprint);
    return charges != null
        && charges.crashIds.size() >= QUARANTINE_CRASHES
        && nowMs < charges.latestAtMs + quarantineMs;
  }

  /**
   * Returns whether a request has been charged once and is not cleared.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowMs the time now
   */
  public boolean isSuspect(String fingerprint, long nowMs) {
    CrashHistory charges = crashesByFingerprint.get(fingerprint);
    return charges != null
        && charges.crashIds.size() < QUARANTINE_CRASHES
        && nowMs < charges.latestAtMs + crashTtlMs;
  }

  /**
   * Returns the fingerprints that are quarantined.
   *
   * @param nowMs the time now
   */
  public List<String> quarantined(long nowMs) {
    return crashesByFingerprint.keySet().stream()
        .filter(fingerprint -> isQuarantined(fingerprint, nowMs))
        .sorted()
        .toList();
  }

  /**
   * Drops what no longer counts; call it now and then.
   *
   * @param nowMs the time now
   */
  public void expire(long nowMs) {
    crashesByFingerprint
        .keySet()
        .removeIf(key -> !isQuarantined(key, nowMs) && !isSuspect(key, nowMs));
  }

  private boolean hasRunningSuspect(String endpoint, long nowMs) {
    return runningByEndpoint.getOrDefault(endpoint, Map.of()).keySet().stream()
        .anyMatch(running -> isSuspect(running, nowMs));
  }

  private static final class CrashHistory {
    final Set<String> crashIds = new HashSet<>();
    final List<Charge> crashes = new ArrayList<>();
    long latestAtMs;
  }
}
