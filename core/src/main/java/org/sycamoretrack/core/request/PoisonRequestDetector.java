package org.sycamoretrack.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects poison requests, that is, requests that crash the endpoints that run them.
 *
 * <p>When an endpoint crashes, the crash is attributed to the fingerprints of all requests that
 * were running on it. A fingerprint with one attributed crash is a suspect. At most one suspect
 * runs on an endpoint at a time; others wait or use another endpoint. When the endpoint of a
 * suspect crashes, that is the second crash of the suspect, and it is quarantined for a limited
 * time. The other requests on that endpoint were not suspects, so this is their first crash. A
 * suspect that succeeds is no longer a suspect.
 *
 * <p>Harmless requests are therefore not quarantined with a poison request: after the first crash
 * they are suspects, and no suspect runs beside another one.
 *
 * <p>Example: the poison request p and the harmless requests a and b run on endpoint x. x crashes:
 * p, a and b are suspects. a runs on y and succeeds: it is no longer a suspect. p runs on y beside
 * the new request c. y crashes: p is quarantined and c is a suspect. b and c later run without
 * another suspect on their endpoint, succeed, and are no longer suspects.
 *
 * <p>Each record carries the id of its crash, so that records from other nodes can be merged in any
 * order and any number of times, also after a success has cleared the request of that crash.
 * Several nodes may observe the same crash, each under an id of its own: crashes of one endpoint
 * that were observed by different nodes less than {@value #SAME_CRASH_WINDOW_MS} ms apart count as
 * one. Not thread-safe.
 */
public final class PoisonRequestDetector {
  private static final int QUARANTINE_CRASHES = 2;

  /**
   * All nodes observe a crash within this time, and a crashed endpoint takes longer than this to
   * restart.
   */
  private static final long SAME_CRASH_WINDOW_MS = 1_000;

  private final String nodeId;
  private final long quarantineMs;
  private final long crashTtlMs;
  private final Map<String, CrashHistory> crashesByFingerprint = new HashMap<>();
  private final Map<String, Map<String, Integer>> runningByEndpoint = new HashMap<>();

  /** When the crashes were cleared that no longer count against a request. */
  private final Map<ClearedCrash, Long> clearedAtMs = new HashMap<>();

  private record ClearedCrash(String fingerprint, String deathId) {}

  /** States whether a request may run on an endpoint. */
  public enum Verdict {
    /** The request may run. */
    RUN,
    /**
     * The request is a suspect and another suspect is running on the endpoint: wait, or use another
     * endpoint.
     */
    HOLD,
    /** The request is quarantined and must be rejected. */
    QUARANTINED
  }

  /**
   * The attribution of a crash to a request, as exchanged between nodes.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the endpoint that crashed
   * @param observer the node that observed the crash
   * @param deathId the id that the observer gave to the crash, unique among all nodes
   * @param atMs when the endpoint crashed
   */
  public record CrashRecord(
      String fingerprint, String endpoint, String observer, String deathId, long atMs) {
    private boolean isSameCrashSeenByAnotherNode(CrashRecord other) {
      return endpoint.equals(other.endpoint)
          && !observer.equals(other.observer)
          && Math.abs(atMs - other.atMs) < SAME_CRASH_WINDOW_MS;
    }
  }

  /**
   * Creates a detector without crashes.
   *
   * @param quarantineMs how long a quarantine lasts after the last crash, in milliseconds
   * @param crashTtlMs how long a single crash makes a request a suspect, in milliseconds
   */
  public PoisonRequestDetector(long quarantineMs, long crashTtlMs) {
    this("", quarantineMs, crashTtlMs);
  }

  /**
   * Creates a detector without crashes, for a node of a cluster.
   *
   * @param nodeId the id of the node, which is the observer of the crashes reported to this
   *     detector
   * @param quarantineMs how long a quarantine lasts after the last crash, in milliseconds
   * @param crashTtlMs how long a single crash makes a request a suspect, in milliseconds
   */
  public PoisonRequestDetector(String nodeId, long quarantineMs, long crashTtlMs) {
    this.nodeId = nodeId;
    this.quarantineMs = quarantineMs;
    this.crashTtlMs = crashTtlMs;
  }

  /**
   * Returns whether a request may run on an endpoint now. This does not change the state of the
   * detector.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the name of the endpoint
   * @param nowMs the current time in milliseconds
   */
  public Verdict verdict(String fingerprint, String endpoint, long nowMs) {
    if (isQuarantined(fingerprint, nowMs)) {
      return Verdict.QUARANTINED;
    }
    boolean blocked = isSuspect(fingerprint, nowMs) && hasRunningSuspect(endpoint, nowMs);
    return blocked ? Verdict.HOLD : Verdict.RUN;
  }

  /**
   * Records the start of a request on an endpoint.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the name of the endpoint
   */
  public void onStart(String fingerprint, String endpoint) {
    runningByEndpoint
        .computeIfAbsent(endpoint, name -> new HashMap<>())
        .merge(fingerprint, 1, Integer::sum);
  }

  /**
   * Records the success of a request. Its attributed crashes are removed, unless it is quarantined.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the name of the endpoint
   * @param nowMs the current time in milliseconds
   */
  public void onSuccess(String fingerprint, String endpoint, long nowMs) {
    onEnd(fingerprint, endpoint);
    if (!isQuarantined(fingerprint, nowMs)) {
      CrashHistory cleared = crashesByFingerprint.remove(fingerprint);
      if (cleared != null) {
        cleared.crashIds.forEach(
            deathId -> clearedAtMs.put(new ClearedCrash(fingerprint, deathId), nowMs));
      }
    }
  }

  /**
   * Records the end of a request that was cancelled or failed without a crash of the endpoint.
   *
   * @param fingerprint the fingerprint of the request
   * @param endpoint the name of the endpoint
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
   * Records the crash of an endpoint, which ends all requests running on it.
   *
   * @param endpoint the name of the endpoint
   * @param deathId the id of the crash, unique among all nodes
   * @param nowMs the current time in milliseconds
   * @return the records to send to the other nodes
   */
  public List<CrashRecord> onEndpointCrash(String endpoint, String deathId, long nowMs) {
    return onEndpointCrash(endpoint, Set.of(), deathId, nowMs);
  }

  /**
   * Records the crash of an endpoint, which ends all requests running on it.
   *
   * @param endpoint the name of the endpoint
   * @param ended the fingerprints of requests that ended on it without a response before the crash
   *     was known
   * @param deathId the id of the crash, unique among all nodes
   * @param nowMs the current time in milliseconds
   * @return the records to send to the other nodes
   */
  public List<CrashRecord> onEndpointCrash(
      String endpoint, Set<String> ended, String deathId, long nowMs) {
    Set<String> fingerprints = new HashSet<>(ended);
    Map<String, Integer> running = runningByEndpoint.remove(endpoint);
    if (running != null) {
      fingerprints.addAll(running.keySet());
    }
    List<CrashRecord> crashRecords = new ArrayList<>();
    for (String fingerprint : fingerprints) {
      CrashRecord crashRecord = new CrashRecord(fingerprint, endpoint, nodeId, deathId, nowMs);
      merge(crashRecord);
      crashRecords.add(crashRecord);
    }
    return crashRecords;
  }

  /**
   * Adds a record of this node or another one.
   *
   * @param crashRecord the record
   */
  public void merge(CrashRecord crashRecord) {
    if (clearedAtMs.containsKey(
        new ClearedCrash(crashRecord.fingerprint(), crashRecord.deathId()))) {
      return;
    }
    CrashHistory history =
        crashesByFingerprint.computeIfAbsent(crashRecord.fingerprint(), key -> new CrashHistory());
    boolean isNewCrash =
        history.crashIds.size() < QUARANTINE_CRASHES
            && !history.crashIds.contains(crashRecord.deathId())
            && history.crashes.stream().noneMatch(crashRecord::isSameCrashSeenByAnotherNode);
    if (isNewCrash) {
      history.crashIds.add(crashRecord.deathId());
      history.crashes.add(crashRecord);
      history.latestAtMs = Math.max(history.latestAtMs, crashRecord.atMs());
    }
  }

  /**
   * Returns whether a request is quarantined and must be rejected.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowMs the current time in milliseconds
   */
  public boolean isQuarantined(String fingerprint, long nowMs) {
    CrashHistory history = crashesByFingerprint.get(fingerprint);
    return history != null
        && history.crashIds.size() >= QUARANTINE_CRASHES
        && nowMs < history.latestAtMs + quarantineMs;
  }

  /**
   * Returns whether a request is a suspect: one crash is attributed to it, which has not expired
   * and was not followed by a success.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowMs the current time in milliseconds
   */
  public boolean isSuspect(String fingerprint, long nowMs) {
    CrashHistory history = crashesByFingerprint.get(fingerprint);
    return history != null
        && history.crashIds.size() < QUARANTINE_CRASHES
        && nowMs < history.latestAtMs + crashTtlMs;
  }

  /**
   * Returns how much longer the quarantine of a request lasts.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowMs the current time in milliseconds
   * @return the remaining time in milliseconds, 0 if the request isn't quarantined
   */
  public long quarantineRemainingMs(String fingerprint, long nowMs) {
    return isQuarantined(fingerprint, nowMs)
        ? crashesByFingerprint.get(fingerprint).latestAtMs + quarantineMs - nowMs
        : 0;
  }

  /**
   * Returns the quarantined fingerprints in sorted order.
   *
   * @param nowMs the current time in milliseconds
   */
  public List<String> quarantined(long nowMs) {
    return crashesByFingerprint.keySet().stream()
        .filter(fingerprint -> isQuarantined(fingerprint, nowMs))
        .sorted()
        .toList();
  }

  /**
   * Removes records and quarantines that have expired. To be called periodically.
   *
   * @param nowMs the current time in milliseconds
   */
  public void expire(long nowMs) {
    crashesByFingerprint
        .keySet()
        .removeIf(key -> !isQuarantined(key, nowMs) && !isSuspect(key, nowMs));
    clearedAtMs.values().removeIf(atMs -> nowMs >= atMs + Math.max(crashTtlMs, quarantineMs));
  }

  private boolean hasRunningSuspect(String endpoint, long nowMs) {
    return runningByEndpoint.getOrDefault(endpoint, Map.of()).keySet().stream()
        .anyMatch(running -> isSuspect(running, nowMs));
  }

  private static final class CrashHistory {
    final Set<String> crashIds = new HashSet<>();
    final List<CrashRecord> crashes = new ArrayList<>();
    long latestAtMs;
  }
}
