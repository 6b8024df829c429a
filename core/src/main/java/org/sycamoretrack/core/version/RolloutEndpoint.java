package org.sycamoretrack.core.version;

import org.sycamoretrack.core.request.Backoff;

/**
 * One engine in a rollout: what it said last, what a token proved, and the load under way.
 *
 * <p>Three sources tell the version, and they can disagree: the report ({@code GET /weights}), the
 * chunks of a probe, and the order that was given. The order proves nothing. The report is taken
 * for true only after a probe that was sent later has shown a token of that version; when the
 * report changes or the engine could not be reached, the proof is void. A proof is repeated now and
 * then, since an engine may fall back to an older version without reporting it.
 *
 * <p>Only a read that was sent after the order was answered, or its call had failed, is decisive. A
 * load ends in one of these ways:
 *
 * <ul>
 *   <li>a decisive read shows the ordered version and a probe that was sent after it shows a token
 *       of that version or a newer one: done;
 *   <li>the same, but the token is of an older version: failed;
 *   <li>a decisive read shows neither the version nor its loading: failed;
 *   <li>no end within the timeout, for example because the load stopped halfway: failed.
 * </ul>
 *
 * <p>After a failure the engine may be ordered again when the backoff is over. An engine that loads
 * the version by the order of an earlier holder is left to it for the length of the timeout.
 */
final class RolloutEndpoint {
  /** How far an order is known to have come. */
  private enum Stage {
    /** The order may not have arrived. */
    SENT,
    /** The order was answered or its call has failed: what is read from now on is its effect. */
    SETTLED,
    /** The report shows the version; a token is to prove it. */
    REPORTED
  }

  /** An order that was given and whose effect is not known yet. */
  private static final class Load {
    final long version;
    final boolean inPlace;
    final long sinceMs;
    Stage stage = Stage.SENT;

    Load(long version, boolean inPlace, long sinceMs) {
      this.version = version;
      this.inPlace = inPlace;
      this.sinceMs = sinceMs;
    }
  }

  private final String name;
  private final RolloutTimes times;
  private final Backoff backoff;

  private long reportedVersion = WeightRollout.UNKNOWN_VERSION;
  private long reportedLoading = WeightRollout.UNKNOWN_VERSION;
  private long probedVersion;
  private boolean verified;
  private long verifiedMs;
  private boolean reachable;
  private Load load;
  private Load loadAtRead;
  private long loadingSinceMs;
  private long nextReadMs = Long.MIN_VALUE;
  private long nextProbeMs = Long.MIN_VALUE;
  private long retryMs = Long.MIN_VALUE;
  private boolean readPending;
  private boolean probePending;
  private boolean probeOutdated;
  private int failures;

  RolloutEndpoint(String name, RolloutTimes times, Backoff backoff) {
    this.name = name;
    this.times = times;
    this.backoff = backoff;
  }

  /** Returns the version that is served as far as known. */
  long servedVersion() {
    return verified ? probedVersion : reportedVersion;
  }

  boolean isReachable() {
    return reachable;
  }

  boolean isLoading() {
    return load != null;
  }

  /** Returns whether the engine gets no new work because of a load, whoever ordered it. */
  boolean isOutOfService() {
    return isLoadingForAnotherNode() || (load != null && !load.inPlace);
  }

  private boolean reportsLoading() {
    return reportedLoading != WeightRollout.UNKNOWN_VERSION;
  }

  /** Returns whether an order for the version is wanted now. */
  boolean needsLoad(long version, long nowMs) {
    boolean loadsAlready =
        reportedLoading >= version && nowMs - loadingSinceMs < times.loadTimeoutMs();
    boolean idle = reachable && load == null && !loadsAlready;
    return idle && servedVersion() < version && nowMs >= retryMs;
  }

  /** Returns whether a read is due, and if so takes it as sent. */
  boolean beginRead(long nowMs) {
    if (readPending || nowMs < nextReadMs) {
      return false;
    }
    readPending = true;
    loadAtRead = load != null && load.stage != Stage.SENT ? load : null;
    return true;
  }

  /** Returns whether a probe for the version is due, and if so takes it as sent. */
  boolean beginProbe(long targetVersion, long nowMs) {
    boolean claims = load == null ? reportedVersion >= targetVersion : load.stage == Stage.REPORTED;
    boolean fresh = verified && nowMs - verifiedMs < times.verificationIntervalMs();
    if (!claims || !reachable || fresh || probePending || nowMs < nextProbeMs) {
      return false;
    }
    probePending = true;
    probeOutdated = false;
    nextProbeMs = nowMs + times.loadingReadIntervalMs();
    return true;
  }

  void beginLoad(long version, boolean inPlace, long nowMs) {
    load = new Load(version, inPlace, nowMs);
  }

  /** Takes back an order that was not sent. */
  void cancelLoad() {
    load = null;
  }

  /** Notes that the order was answered or has failed, so that later reads show its effect. */
  void onLoadCommandSettled(long nowMs) {
    if (load != null && load.stage == Stage.SENT) {
      load.stage = Stage.SETTLED;
    }
    nextReadMs = nowMs;
  }

  void onRead(long version, long loading, long nowMs) {
    readPending = false;
    reachable = true;
    if (version != reportedVersion) {
      reportedVersion = version;
      invalidateVerification();
    }
    if (loading != reportedLoading) {
      reportedLoading = loading;
      loadingSinceMs = nowMs;
    }
    nextReadMs = nowMs + (load == null ? times.readIntervalMs() : times.loadingReadIntervalMs());
    if (load != null && loadAtRead == load && loading < load.version) {
      onLoadEnded(nowMs);
    }
  }

  private void onLoadEnded(long nowMs) {
    if (reportedVersion < load.version) {
      failLoad(nowMs);
    } else if (load.stage != Stage.REPORTED) {
      load.stage = Stage.REPORTED;
      invalidateVerification();
    }
  }

  /** Asks for a new proof; the result of a probe that is under way does not count. */
  private void invalidateVerification() {
    verified = false;
    probeOutdated = true;
  }

  void onReadFailed(long nowMs) {
    readPending = false;
    reachable = false;
    invalidateVerification();
    nextReadMs = nowMs + times.readIntervalMs();
  }

  void onProbed(long version, long nowMs) {
    probePending = false;
    if (probeOutdated || (load != null && load.stage != Stage.REPORTED)) {
      return;
    }
    probedVersion = version;
    verified = true;
    verifiedMs = nowMs;
    if (load == null) {
      return;
    }
    if (version >= load.version) {
      load = null;
      failures = 0;
    } else {
      failLoad(nowMs);
    }
  }

  void onProbeFailed(long nowMs) {
    probePending = false;
    nextProbeMs = nowMs + times.readIntervalMs();
  }

  /** Fails a load that has taken too long. */
  void checkTimeout(long nowMs) {
    if (load != null && nowMs - load.sinceMs >= times.loadTimeoutMs()) {
      failLoad(nowMs);
    }
  }

  private void failLoad(long nowMs) {
    load = null;
    retryMs = nowMs + backoff.waitMs(failures);
    failures++;
  }

  /** Returns whether the engine loads by the order of another node. */
  boolean isLoadingForAnotherNode() {
    return load == null && reportsLoading();
  }

  RolloutStatus status(boolean outOfService) {
    return new RolloutStatus(
        name,
        servedVersion(),
        verified,
        load == null ? reportedLoading : load.version,
        outOfService,
        reachable,
        failures);
  }
}
